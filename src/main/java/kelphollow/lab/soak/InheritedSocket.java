package kelphollow.lab.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import kelphollow.lab.Ports;

/**
 * A listening socket for clients that every process started here inherits as descriptor 0, as the platform provides it on
 * upgrade days. The JDK can pass no socket to a child, so a Perl process holds the socket and starts the children; they
 * are killed when this object is closed. Thread-safe.
 */
public final class InheritedSocket implements AutoCloseable {
    /** A started child; {@code exitCode} completes with its exit status, or 128 plus the signal that ended it. */
    record Child(ProcessHandle handle, CompletableFuture<Integer> exitCode) {}

    private static final long TIMEOUT_SECONDS = 20;
    private static final String SEPARATOR = "\t";
    private static final String LAUNCHER = """
        use strict; use Socket; use POSIX qw(dup2 WNOHANG);
        $| = 1;
        socket(my $listener, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
        bind($listener, sockaddr_in($ARGV[0], INADDR_LOOPBACK)) or die "bind: $!";
        listen($listener, 512) or die "listen: $!";
        print "listening\\n";
        my %children;
        my $input = '';
        while (1) {
          my $ready = '';
          vec($ready, fileno(STDIN), 1) = 1;
          if (select($ready, undef, undef, 0.01) > 0) {
            sysread(STDIN, $input, 65536, length $input) or last;
          }
          while ($input =~ s/^([^\\n]*)\\n//) {
            my ($log, @command) = split /\\t/, $1;
            my $pid = fork;
            if ($pid == 0) {
              dup2(fileno($listener), 0);
              open STDOUT, '>>', $log;
              open STDERR, '>&', \\*STDOUT;
              exec @command;
              POSIX::_exit(127);
            }
            $children{$pid} = 1;
            print "started $pid\\n";
          }
          while ((my $pid = waitpid(-1, WNOHANG)) > 0) {
            delete $children{$pid};
            print "exited $pid ", ($? & 127 ? 128 + ($? & 127) : $? >> 8), "\\n";
          }
        }
        kill 'KILL', keys %children;
        """;

    /** Below the ephemeral range: clients of another run must not reach this one at a port that both were given. */
    private static final Ports PORTS = new Ports();

    private final Process launcher;
    private final Writer commands;
    private final InetSocketAddress address;
    private final BlockingQueue<Child> started = new LinkedBlockingQueue<>();
    private final Map<Long, CompletableFuture<Integer>> exitCodes = new ConcurrentHashMap<>();

    /** Opens the socket on a free port of the loopback address. */
    public InheritedSocket() throws IOException {
        address = new InetSocketAddress("127.0.0.1", PORTS.free());
        launcher = new ProcessBuilder("perl", "-e", LAUNCHER, Integer.toString(address.getPort())).redirectError(
            ProcessBuilder.Redirect.INHERIT).start();
        commands = launcher.outputWriter();
        BufferedReader reports = launcher.inputReader();
        if (reports.readLine() == null) {
            throw new IOException("perl has not opened a listening socket at " + address);
        }
        SoakThreads.start("inherited socket", () -> readReports(reports));
    }

    private void readReports(BufferedReader reports) throws IOException {
        for (String line; (line = reports.readLine()) != null;) {
            String[] words = line.split(" ");
            long pid = Long.parseLong(words[1]);
            CompletableFuture<Integer> exitCode = exitCodes.computeIfAbsent(pid, id -> new CompletableFuture<>());
            if (words[0].equals("started")) {
                started.add(new Child(ProcessHandle.of(pid).orElse(null), exitCode));
            } else {
                exitCodes.remove(pid);
                exitCode.complete(Integer.parseInt(words[2]));
            }
        }
    }

    /** The address at which clients connect. */
    InetSocketAddress address() {
        return address;
    }

    /** Starts a process whose output is appended to the log. */
    synchronized Child start(Path log, Map<String, String> environment, List<String> command)
        throws IOException, InterruptedException {
        List<String> words = new ArrayList<>(List.of(log.toString(), "env"));
        environment.forEach((name, value) -> words.add(name + "=" + value));
        words.addAll(command);
        commands.write(String.join(SEPARATOR, words) + "\n");
        commands.flush();
        Child child = started.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (child == null || child.handle() == null) {
            throw new IOException("process not started: " + command);
        }
        return child;
    }

    /** Closes the socket and kills the processes that still run. */
    @Override public void close() throws IOException, InterruptedException {
        commands.close();
        launcher.waitFor();
    }
}
