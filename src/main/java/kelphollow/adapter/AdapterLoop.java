package kelphollow.adapter;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;

/** Runs the adapter over a pair of streams, on the calling thread. */
public final class AdapterLoop {
    private AdapterLoop() {}

    /**
     * Handles one batch per line, and writes one reply per line, until the input ends.
     *
     * @return the exit code: 0 at the end of input, 1 after a malformed line or an I/O error, reported on {@code err}
     */
    public static int run(BufferedReader in, OutputStream out, PrintStream err) {
        Adapter adapter = new Adapter();
        long lineNumber = 0;
        try {
            String line;
            while ((line = in.readLine()) != null) {
                lineNumber++;
                byte[] reply = adapter.handleBatch(line);
                out.write(reply);
                out.flush();
            }
            return 0;
        } catch (MalformedMessageException | IOException e) {
            err.println("kelphollow adapter: line " + lineNumber + ": " + e.getMessage().replace('\n', ' '));
            return 1;
        }
    }
}
