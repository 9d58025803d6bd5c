package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** The operators' second address: one line a connection, and one line back. */
final class Mgmt {
    private Mgmt() {}

    static String call(int port, String line) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            String answer = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                .readLine();
            return answer == null ? "" : answer;
        } catch (IOException e) {
            return "";
        }
    }
}
