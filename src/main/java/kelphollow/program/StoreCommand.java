package kelphollow.program;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import kelphollow.ledger.Ledger;
import kelphollow.store.FolderDisk;
import kelphollow.store.Inspection;
import kelphollow.store.IntegrityReport;
import kelphollow.store.ProgressListener;
import kelphollow.store.Snapshot;
import kelphollow.store.Store;
import kelphollow.store.StoreFault;
import kelphollow.store.StoreOptions;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** {@code store}: the operator's tools for a store that no running program holds. */
public final class StoreCommand implements Main.Command {
    static final int DIFFERS = 1, UNUSABLE = 2, DAMAGED = 3, HELD = 4;

    @Argument(required = true, metaVar = "inspect | verify | dump | compact | repair", handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "inspect", impl = Inspect.class),
        @SubCommand(name = "verify", impl = Verify.class),
        @SubCommand(name = "dump", impl = Dump.class),
        @SubCommand(name = "compact", impl = Compact.class),
        @SubCommand(name = "repair", impl = Repair.class)})
    private Main.Command tool;

    @Override public int run(PrintStream out, PrintStream err) throws Exception {
        return tool.run(out, err);
    }

    /** What all of them share: which store, and what its faults mean for the exit code. */
    abstract static class Tool implements Main.Command {
        @Option(name = "--config", metaVar = "FILE", usage = "the operator's file whose 'store' names the folders")
        private String file;

        @Argument(index = 0, metaVar = "FOLDER", usage = "the first folder, instead of a file")
        private String first;

        @Argument(index = 1, metaVar = "FOLDER", usage = "the second folder")
        private String second;

        StoreOptions options = StoreOptions.DEFAULTS;
        FolderDisk a, b;

        @Override public int run(PrintStream out, PrintStream err) throws Exception {
            folders();
            try {
                return work(out, progress(err));
            } catch (StoreFault e) {
                err.println("kelphollow: store: " + e.getMessage());
                return switch (e.kind()) {
                    case DAMAGED -> DAMAGED;
                    case LOCKED -> HELD;
                    default -> UNUSABLE;
                };
            } catch (IOException e) {
                err.println("kelphollow: store: " + StoreConfig.message(e));
                return UNUSABLE;
            }
        }

        private void folders() throws Config.Bad {
            Path one, two;
            if (file != null) {
                StoreConfig config = StoreConfig.read(Config.readFile("--config", file));
                if (config == null) {
                    throw new Config.Bad("store is missing in " + file);
                }
                one = config.first();
                two = config.second();
                options = config.options();
            } else if (second == null) {
                throw new Config.Bad("--config FILE or two folders are needed");
            } else {
                one = Path.of(first);
                two = Path.of(second);
            }
            if (!Files.isDirectory(one) && !Files.isDirectory(two)) {
                throw new Config.Bad("store.folders: neither " + one + " nor " + two + " is a folder");
            }
            a = new FolderDisk(one);
            b = new FolderDisk(two);
        }

        /** A line a second at most, on the side of the output that scripts do not read. */
        private static ProgressListener progress(PrintStream err) {
            long[] saidAt = {System.nanoTime()};
            return (done, total) -> {
                if (System.nanoTime() - saidAt[0] > 1_000_000_000L) {
                    saidAt[0] = System.nanoTime();
                    err.println("progress segments=" + done + " of=" + total);
                }
            };
        }

        abstract int work(PrintStream out, ProgressListener progress) throws IOException, StoreFault;

        Store open(ProgressListener progress) throws IOException, StoreFault {
            return Store.open(a, b, options.withInline(true), System::currentTimeMillis, progress);
        }

        static void print(PrintStream out, IntegrityReport report) {
            report.findings().forEach(out::println);
        }
    }

    /** {@code inspect}: what is in it. */
    public static final class Inspect extends Tool {
        @Override int work(PrintStream out, ProgressListener progress) throws IOException, StoreFault {
            Inspection i = Store.inspect(a, b, options, progress);
            out.println("store id=" + i.store() + " generation=" + i.generation() + " sequence=" + i.lastSequence()
                + " time=" + i.time() + " bytes=" + i.length() + " live=" + i.live());
            for (Inspection.SegmentLine s : i.segments()) {
                out.println("segment id=" + s.id() + " bytes=" + s.length() + " operations=" + s.operations() + " live="
                    + s.live() + " sealed=" + s.sealed() + " hint=" + s.hint());
            }
            i.tables().forEach((name, keys) -> out.println("table name=" + name + " keys=" + keys));
            return 0;
        }
    }

    /** {@code verify}: reads every byte of both copies and changes nothing. */
    public static final class Verify extends Tool {
        @Override int work(PrintStream out, ProgressListener progress) throws IOException, StoreFault {
            Inspection i = Store.inspect(a, b, options, progress);
            print(out, i.report());
            boolean differs = i.report().contains(IntegrityReport.Kind.DIFFERS);
            String state = i.report().isDamaged() ? "damaged" : differs ? "differs" : "sound";
            out.println("state=" + state + " segments=" + i.segments().size() + " bytes=" + i.length());
            return i.report().isDamaged() ? DAMAGED : differs ? DIFFERS : 0;
        }
    }

    /** {@code dump}: all that it holds, a JSON object a line. Recovers the store first, as a start does. */
    public static final class Dump extends Tool {
        @Option(name = "--table", metaVar = "NAME", usage = "only this table")
        private String only;

        @Override int work(PrintStream out, ProgressListener progress) throws IOException, StoreFault {
            try (Store store = open(progress); Snapshot snapshot = store.snapshot()) {
                List<String> tables = new ArrayList<>(store.tableNames());
                tables.removeIf(t -> only != null && !only.equals(t));
                for (String table : tables) {
                    snapshot.scan(table, new byte[0], (key, value) -> {
                        out.println(line(table, key, value));
                        return !out.checkError();
                    });
                }
            }
            return 0;
        }

        private static String line(String table, byte[] key, byte[] value) throws IOException {
            java.io.StringWriter text = new java.io.StringWriter();
            try (var json = new com.fasterxml.jackson.core.JsonFactory().createGenerator(text)) {
                json.writeStartObject();
                json.writeStringField("table", table);
                write(json, "key", key);
                write(json, "value", value);
                json.writeEndObject();
            }
            return text.toString();
        }

        /** Text as it is, anything else in base 64 under a name that says so. */
        private static void write(com.fasterxml.jackson.core.JsonGenerator json, String name, byte[] bytes)
            throws IOException {
            try {
                json.writeStringField(name,
                    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString());
            } catch (CharacterCodingException e) {
                json.writeStringField(name + "_base64", Base64.getEncoder().encodeToString(bytes));
            }
        }
    }

    /** {@code compact}: gives back what is dead. */
    public static final class Compact extends Tool {
        @Override int work(PrintStream out, ProgressListener progress) throws IOException, StoreFault {
            try (Store store = open(progress)) {
                Store.Stats before = store.stats();
                store.compactAll();
                Store.Stats after = store.stats();
                out.println("compacted bytes=" + before.length() + " to=" + after.length() + " segments="
                    + before.segments() + " to_segments=" + after.segments() + " live=" + after.live());
            }
            return 0;
        }
    }

    /** {@code repair}: repairs what is whole in one copy; on the operator's word gives up what is whole in neither. */
    public static final class Repair extends Tool {
        @Option(name = "--accept-loss", usage = "give up what is missing: damaged in both copies, or newer than a restored backup")
        private boolean acceptLoss;

        @Override int work(PrintStream out, ProgressListener progress) throws IOException, StoreFault {
            options = options.withCheckAll(true);
            try (Store store = acceptLoss ? Store.openAcceptingLoss(a, b, options.withInline(true),
                System::currentTimeMillis, progress) : open(progress)) {
                print(out, store.report());
                if (acceptLoss) {
                    Ledger.noteLoss(store, System.currentTimeMillis());
                }
                out.println("state=" + (store.report().isDamaged() ? "repaired_with_loss" : "sound") + " repaired="
                    + store.report().repairedFiles());
                return 0;
            }
        }
    }
}
