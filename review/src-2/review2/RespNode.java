package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A storage node of the platform. What it does with a command is the case's own. */
final class RespNode {
    /** Handles one command on a connection whose input is read by nobody else meanwhile. */
    interface Handler {
        /** Returns the answer's bytes, or null if none is given and the connection stays open. */
        byte[] answer(RespNode node, String[] command, Socket connection) throws Exception;
    }

    final String name;
    final int block;
    private final Listener listener;
    private final Handler handler;

    RespNode(String name, int block, Handler handler) throws IOException {
        this.name = name;
        this.block = block;
        this.handler = handler;
        listener = new Listener(name, this::serve);
    }

    String dial() {
        return listener.text();
    }

    /** The answer that serves a request with this value. */
    static byte[] served(byte[] value) {
        byte[] head = ("*3\r\n$" + value.length + "\r\n").getBytes(StandardCharsets.US_ASCII);
        String report = "inflight=1";
        byte[] tail = ("\r\n$-1\r\n$" + report.length() + "\r\n" + report + "\r\n").getBytes(StandardCharsets.US_ASCII);
        byte[] all = new byte[head.length + value.length + tail.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(value, 0, all, head.length, value.length);
        System.arraycopy(tail, 0, all, head.length + value.length, tail.length);
        return all;
    }

    private void serve(Socket socket) throws Exception {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String[] command;
        while ((command = Resp.readCommand(in)) != null) {
            byte[] answer = handler.answer(this, command, socket);
            if (answer != null) {
                socket.getOutputStream().write(answer);
            }
        }
    }
}
