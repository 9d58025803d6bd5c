package kelphollow.protocol.object;

import kelphollow.routing.ResponseCallback;
import kelphollow.routing.Request;

/** Asks the node what it has of an upload, on behalf of a call that must not be sent blind. Event loop only. */
final class NodeQuestion implements ResponseCallback {
    /** Hears one of the two, once, unless the question is called off. */
    interface Reply {
        void answered(Transfer.Answer answer);

        void failed(S3Error error);
    }

    private final ObjectFront front;
    private final Reply reply;
    private boolean asking;
    private Request asked;

    NodeQuestion(ObjectFront front, Reply reply) {
        this.front = front;
        this.reply = reply;
    }

    void ask(ObjectCall list, Transfer.Client client) {
        asking = true;
        try {
            Request taken = front.router.submit(front.arrival(list), new Transfer(list, null, client), this);
            asked = asking ? taken : null;
        } catch (S3Error e) {
            end(e);
        }
    }

    boolean isAsking() {
        return asking;
    }

    /** The answer is of no use any more. */
    void callOff() {
        if (asking) {
            asking = false;
            front.router.clientDisconnected(asked);
        }
    }

    private void end(S3Error error) {
        asking = false;
        reply.failed(error);
    }

    @Override public void served(Object answer) {
        asking = false;
        reply.answered((Transfer.Answer) answer);
    }

    @Override public void rejected(double after, boolean timedOut) {
        end(timedOut ? S3Error.failed(true) : S3Error.rejected(after));
    }

    @Override public void failed(boolean timedOut) {
        end(S3Error.failed(timedOut));
    }
}
