package kelphollow.protocol.object;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import javax.xml.stream.XMLStreamException;
import kelphollow.ledger.CompletionRecords.Answer;

/**
 * A client's completion of an upload. It goes out only if it cannot have run yet: one that ran is answered as before,
 * one whose outcome is unknown is first looked for at the node, since an upload that is gone was completed or aborted.
 */
final class CompletionSending implements NodeQuestion.Reply {
    private final ObjectFront front;
    private final ObjectExchange exchange;
    private final byte[] document;
    private final String print;
    private final NodeQuestion question;
    private Completions.Completion completion;
    private IntentBarrier intent;
    private boolean sender;

    CompletionSending(ObjectFront front, ObjectExchange exchange, byte[] document) {
        this.front = front;
        this.exchange = exchange;
        this.document = document;
        this.question = new NodeQuestion(front, this);
        MessageDigest digest = UploadParts.digest();
        digest.update(document);
        this.print = UploadParts.hex(digest);
    }

    void begin() {
        completion = front.completions.find(UploadParts.upload(exchange.call()), front.parts.isNew(exchange.call()),
            front.startedAt);
        if (completion == null) {
            exchange.answer(S3Error.rejected(1));
            return;
        }
        switch (completion.kind()) {
            case RAN -> repeat();
            case RUNNING -> exchange.answer(S3Error.rejected(1));
            case UNKNOWN -> question.ask(exchange.call().listParts(), exchange);
            default -> passOn();
        }
    }

    private void repeat() {
        Answer a = completion.answer();
        if (!a.print().equals(print)) {
            exchange.answer(new S3Error(404, "NoSuchUpload", "This upload was completed with other parts."));
            return;
        }
        HttpHeaders headers = new DefaultHttpHeaders();
        if (a.type() != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, a.type());
        }
        exchange.answer(new Transfer.Answer(a.status(), headers, a.body().getBytes(StandardCharsets.UTF_8)));
    }

    private void passOn() {
        sender = true;
        intent = new IntentBarrier(front.ticker, front.options.write().deadline(), () -> exchange.send(document),
            error -> failed(error, false));
        completion.running(front.ticker.now(), intent::recorded);
    }

    // ---------------------------------------------------------------- the node says what it has

    @Override public void answered(Transfer.Answer answer) {
        double wait = completion.settlesIn(front.ticker.now());
        if (answer.status() == 404) {
            completion.neverRan();                 // the upload is gone: there is nothing to complete any more
            exchange.answer(answer);
        } else if (answer.status() != 200) {
            exchange.answer(answer);
        } else if (wait > 0) {
            exchange.answer(S3Error.rejected(wait));   // the attempt whose end is unknown may still be at work
        } else {
            passOn();
        }
    }

    @Override public void failed(S3Error error) {
        exchange.answer(error);
    }

    // ---------------------------------------------------------------- this sending ends

    void served(Transfer.Answer answer) {
        sender = false;
        String type = answer.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (answer.status() / 100 == 2 && !isError(answer)) {
            completion.ran(new Answer(print, answer.status(), type, new String(answer.body(), StandardCharsets.UTF_8)),
                front.ticker.now());
            front.parts.over(UploadParts.upload(exchange.call()));
        } else if (answer.status() / 100 == 4) {
            completion.neverRan();
        } else {
            completion.unknown(front.ticker.now());
        }
        exchange.answer(answer);
    }

    /** S3 begins its answer before it is done: a failure then comes with the status 200. */
    private static boolean isError(Transfer.Answer answer) {
        try {
            return "Error".equals(S3Xml.root(answer.body()));
        } catch (XMLStreamException e) {
            return true;
        }
    }

    void failed(S3Error error, boolean mayHaveRun) {
        end(mayHaveRun);
        exchange.answer(error);
    }

    private void end(boolean mayHaveRun) {
        if (sender) {
            sender = false;
            if (mayHaveRun) {
                completion.unknown(front.ticker.now());
            } else {
                completion.neverRan();
            }
        }
    }

    /** The client has gone; {@code out} says whether the document was on its way. */
    void withdrawn(boolean out) {
        if (intent != null) {
            intent.callOff();
        }
        question.callOff();
        end(out);
    }
}
