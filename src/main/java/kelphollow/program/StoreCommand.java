package kelphollow.program;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import kelphollow.ledger.Ledger;
import kelphollow.store.Inspection;
import kelphollow.store.IntegrityReport;
import kelphollow.store.ProgressListener;
import kelphollow.store.Snapshot;
import kelphollow.store.Store;
import kelphollow.store.StoreFault;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** {@code store}: the operator's tools for a store that no running process has locked. */
public final class StoreCommand implements Main.Command {
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

    /** {@code inspect}: prints the segments, tables and sizes of a store. */
    public static final class Inspect extends StoreTool {
        @Override int execute(PrintStream out, ProgressListener progress) throws IOException, StoreFault {
            Inspection store = Store.inspect(first(), second(), options(), progress);
            out.println("store id=" + store.store() + " generation=" + store.generation() + " sequence="
                + store.lastSequence() + " time=" + store.time() + " bytes=" + store.bytes() + " live=" + store.liveBytes());
            for (Inspection.SegmentSummary segment : store.segments()) {
                out.println("segment id=" + segment.id() + " bytes=" + segment.bytes() + " operations="
                    + segment.operations() + " live=" + segment.liveBytes() + " sealed=" + segment.sealed() + " hint="
                    + segment.hasHint());
            }
            store.tables().forEach((name, keys) -> out.println("table name=" + name + " keys=" + keys));
            return 0;
        }
    }

    /** {@code verify}: reads every byte of both copies and changes nothing. */
    public static final class Verify extends StoreTool {
        @Override int execute(PrintStream out, ProgressListener progress) throws IOException, StoreFault {
            Inspection store = Store.inspect(first(), second(), options(), progress);
            print(out, store.report());
            String state = "sound";
            int code = 0;
            if (store.report().isDamaged()) {
                state = "damaged";
                code = DAMAGED;
            } else if (store.report().contains(IntegrityReport.Kind.DIFFERS)) {
                state = "differs";
                code = DIFFERS;
            }
            out.println("state=" + state + " segments=" + store.segments().size() + " bytes=" + store.bytes());
            return code;
        }
    }

    /** {@code dump}: prints each entry as a JSON object on its own line. Recovers the store first, as a start does. */
    public static final class Dump extends StoreTool {
        private static final JsonFactory JSON = new JsonFactory();

        @Option(name = "--table", metaVar = "NAME", usage = "only this table")
        private String onlyTable;

        @Override int execute(PrintStream out, ProgressListener progress) throws IOException, StoreFault {
            try (Store store = open(progress); Snapshot snapshot = store.snapshot()) {
                List<String> tables = new ArrayList<>(store.tableNames());
                tables.removeIf(table -> onlyTable != null && !onlyTable.equals(table));
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
            StringWriter text = new StringWriter();
            try (JsonGenerator json = JSON.createGenerator(text)) {
                json.writeStartObject();
                json.writeStringField("table", table);
                write(json, "key", key);
                write(json, "value", value);
                json.writeEndObject();
            }
            return text.toString();
        }

        /** Writes UTF-8 text as a string, other bytes in base 64 under the name with the suffix {@code _base64}. */
        private static void write(JsonGenerator json, String name, byte[] bytes) throws IOException {
            try {
                json.writeStringField(name,
                    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString());
            } catch (CharacterCodingException e) {
                json.writeStringField(name + "_base64", Base64.getEncoder().encodeToString(bytes));
            }
        }
    }

    /** {@code compact}: frees the space of overwritten and deleted entries. */
    public static final class Compact extends StoreTool {
        @Override int execute(PrintStream out, ProgressListener progress) throws IOException, StoreFault {
            try (Store store = open(progress)) {
                Store.Stats before = store.stats();
                store.compactAll();
                Store.Stats after = store.stats();
                out.println("compacted bytes=" + before.bytes() + " to=" + after.bytes() + " segments="
                    + before.segments() + " to_segments=" + after.segments() + " live=" + after.liveBytes());
            }
            return 0;
        }
    }

    /** {@code repair}: restores data from the other copy; {@code --accept-loss} gives up data that neither copy holds. */
    public static final class Repair extends StoreTool {
        private static final String LOSS_USAGE = "give up what is missing: damaged in both copies, or newer than a restored"
            + " backup";

        @Option(name = "--accept-loss", usage = LOSS_USAGE)
        private boolean acceptLoss;

        @Override int execute(PrintStream out, ProgressListener progress) throws IOException, StoreFault {
            checkAll();
            try (Store store = acceptLoss ? openAcceptingLoss(progress) : open(progress)) {
                print(out, store.report());
                if (acceptLoss) {
                    Ledger.recordLoss(store, System.currentTimeMillis());
                }
                out.println("state=" + (store.report().isDamaged() ? "repaired_with_loss" : "sound") + " repaired="
                    + store.report().repairedFiles());
                return 0;
            }
        }

        private Store openAcceptingLoss(ProgressListener progress) throws IOException, StoreFault {
            return Store.openAcceptingLoss(first(), second(), options().withInline(true), System::currentTimeMillis,
                progress);
        }
    }
}
