package kelphollow.program;

import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import kelphollow.adapter.AdapterLoop;

/** {@code adapter}: runs the decision module on the simulator's protocol over standard input and output. */
public final class AdapterCommand implements Main.Command {
    @Override public int run(PrintStream out, PrintStream err) {
        return AdapterLoop.run(new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16),
            new FileOutputStream(FileDescriptor.out), err);
    }
}
