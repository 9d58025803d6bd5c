package kelphollow.protocol.object;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.security.MessageDigest;
import javax.xml.stream.XMLStreamException;

/**
 * A client's sending of one part. It is passed on only if the part cannot have been written yet; otherwise its
 * content is read and compared with what was written, and the client gets the recorded answer or a conflict.
 */
final class PartSending implements UploadParts.Waiter, NodeQuestion.Reply {
    private final ObjectFront front;
    private final ObjectExchange exchange;
    private final MessageDigest digest = UploadParts.digest();
    private UploadParts.Part part;
    private final NodeQuestion question;
    private IntentBarrier intent;
    private boolean sender;
    private UploadParts.State before;
    private long size;
    private double unknownSince;
    private boolean mayBeYet;
    private UploadParts.End end;
    private UploadParts.Print print;

    PartSending(ObjectFront front, ObjectExchange exchange) {
        this.front = front;
        this.exchange = exchange;
        this.question = new NodeQuestion(front, this);
    }

    void begin() {
        part = front.parts.find(exchange.call(), front.ticker.now());
        if (part == null) {
            exchange.answer(S3Error.rejected(1));
            return;
        }
        switch (part.state) {
            case BUSY -> compareWith(null);
            case STORED -> compareWith(new UploadParts.End(part.print, part.etag, null));
            case UNKNOWN -> ask();
            case ASK -> {
                if (front.parts.isNew(exchange.call())) {
                    passOn();
                } else {
                    ask();
                }
            }
        }
    }

    private void passOn() {
        sender = true;
        intent = new IntentBarrier(front.ticker, front.options.write().deadline(), () -> exchange.send(null), this::unsent);
        part.sending(front.ticker.now(), intent::recorded);
    }

    /** Reads the body away; it is answered once it is whole and the end of the first sending is known. */
    private void compareWith(UploadParts.End known) {
        end = known;
        if (end == null) {
            part.join(this);
        }
        exchange.read();
    }

    void piece(ByteBuf bytes, boolean last) {
        digest.update(bytes.nioBuffer());
        size += bytes.readableBytes();
        if (last) {
            print = new UploadParts.Print(size, UploadParts.hex(digest));
        }
        if (sender) {
            exchange.transfer().piece(bytes, last);
        } else {
            bytes.release();
            if (last) {
                compare();
            } else {
                exchange.read();
            }
        }
    }

    @Override public void ended(UploadParts.End known) {
        end = known;
        compare();
    }

    private void compare() {
        if (end == null || print == null || exchange.isOver()) {
            return;
        }
        if (end.error() != null) {
            exchange.answer(end.error());
        } else if (end.print().equals(print)) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                Unpooled.EMPTY_BUFFER);
            response.headers().set(HttpHeaderNames.ETAG, end.etag()).set(HttpHeaderNames.CONTENT_LENGTH, 0);
            exchange.write(response);
        } else {
            exchange.answer(new S3Error(409, "OperationAborted",
                "This part has been sent with other content, which is stored or may be."));
        }
    }

    // ------------------------------------------------------------ the node is asked what it has

    private void ask() {
        // What is not remembered may have been sent by the life before, whose attempts ended when this one began.
        unknownSince = part.state == UploadParts.State.UNKNOWN ? part.unknownSince : front.startedAt;
        mayBeYet = front.ticker.now() - unknownSince < front.options.write().deadline();
        before = part.state;
        part.state = UploadParts.State.BUSY;
        question.ask(exchange.call().listThisPart(), exchange);
    }

    @Override public void failed(S3Error error) {
        release(error);
    }

    @Override public void answered(Transfer.Answer answer) {
        if (answer.status() != 200) {
            release(null);
            exchange.answer(answer);
            return;
        }
        S3Xml.Part stored;
        try {
            stored = S3Xml.parts(answer.body()).get(exchange.call().partNumber());
        } catch (XMLStreamException e) {
            release(S3Error.failed(false));
            return;
        }
        if (stored != null) {
            UploadParts.Print content = new UploadParts.Print(stored.size(), stored.etag().replace("\"", ""));
            part.stored(content, stored.etag(), front.ticker.now());
            compareWith(new UploadParts.End(content, stored.etag(), null));
        } else if (mayBeYet) {
            // The attempt whose end is unknown may still be at work; sending another now could store it twice.
            release(S3Error.rejected(unknownSince + front.options.write().deadline() - front.ticker.now()));
        } else {
            passOn();
        }
    }

    /** The question had no answer: all is as before it. */
    private void release(S3Error error) {
        S3Error told = error == null ? S3Error.rejected(1) : error;
        if (before == UploadParts.State.UNKNOWN) {
            part.unknown(part.unknownSince, told);
        } else {
            part.forget(told);
        }
        if (error != null) {
            exchange.answer(error);
        }
    }

    // ------------------------------------------------------------ this sending ends

    void served(Transfer.Answer answer) {
        sender = false;
        String etag = answer.headers().get(HttpHeaderNames.ETAG);
        if (answer.status() == 200 && etag != null && print != null) {
            part.stored(print, etag, front.ticker.now());
        } else if (answer.status() / 100 == 4) {
            part.forget(S3Error.rejected(1));
        } else {
            part.unknown(front.ticker.now(), S3Error.failed(false));
        }
        exchange.answer(answer);
    }

    /** The sending ended without an answer of the node. */
    void ended(S3Error error) {
        end(error);
        exchange.answer(error);
    }

    /** Nothing went out, since the record of it is not safe. */
    private void unsent(S3Error error) {
        sender = false;
        part.forget(error);
        exchange.answer(error);
    }

    private void end(S3Error error) {
        sender = false;
        if (exchange.transfer() != null && exchange.transfer().isBodyWhole()) {
            part.unknown(front.ticker.now(), error);
        } else {
            part.forget(error);
        }
    }

    void withdrawn() {
        if (intent != null) {
            intent.callOff();
        }
        if (sender) {
            end(S3Error.rejected(1));
        } else if (question.isAsking()) {
            question.callOff();
            release(null);
        } else if (part != null) {
            part.leave(this);
        }
    }
}
