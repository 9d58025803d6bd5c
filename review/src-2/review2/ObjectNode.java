package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An object server: reads whole requests and answers each as the case says. */
final class ObjectNode {
    /** Handles a whole request. */
    interface Handler {
        /** Returns the response's bytes, or null if none is given and the connection stays open. */
        byte[] answer(String method, String uri, Http.Head head, byte[] body, Socket connection) throws Exception;
    }

    private final Listener listener;
    private final Handler handler;

    ObjectNode(Handler handler) throws IOException {
        this.handler = handler;
        listener = new Listener("object server", this::serve);
    }

    int port() {
        return listener.port();
    }

    private void serve(Socket socket) throws Exception {
        InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
        Http.Head head;
        while ((head = Http.readHead(in)) != null) {
            if ("100-continue".equals(head.field("expect"))) {
                socket.getOutputStream().write("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            byte[] body = Http.readBody(in, Math.max(0, head.length()));
            String[] words = head.first().split(" ");
            byte[] answer = handler.answer(words[0], words[1], head, body, socket);
            if (answer != null) {
                socket.getOutputStream().write(answer);
            }
        }
    }
}
