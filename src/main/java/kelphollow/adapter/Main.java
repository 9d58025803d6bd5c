package kelphollow.adapter;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.FileOutputStream;
import java.io.FileDescriptor;
import java.nio.charset.StandardCharsets;

/** Command line: {@code java -jar kelphollow.jar adapter}. */
public final class Main {
    private Main() { }

    /** Runs the adapter on standard input and output; a wrong command line prints the usage and exits 2. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar kelphollow.jar adapter");
            System.exit(2);
        }
        int code = run(new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16),
            new FileOutputStream(FileDescriptor.out), System.err);
        System.exit(code);
    }

    /** One reply a line until the input ends; returns the exit code. */
    static int run(BufferedReader in, OutputStream out, java.io.PrintStream err) {
        Adapter adapter = new Adapter();
        long number = 0;
        try {
            String line;
            while ((line = in.readLine()) != null) {
                number++;
                byte[] reply = adapter.answer(line);
                out.write(reply);
                out.flush();
            }
            return 0;
        } catch (Adapter.BadInput | IOException e) {
            err.println("kelphollow adapter: line " + number + ": " + e.getMessage().replace('\n', ' '));
            return 1;
        }
    }
}
