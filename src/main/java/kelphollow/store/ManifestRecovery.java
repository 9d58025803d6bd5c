package kelphollow.store;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The first step of recovery: finds the manifest of the higher generation and writes it to both folders, or creates one for
 * a new store. Rejects two folders of different stores, and never creates a new store in place of a damaged one. Confined to
 * the thread that opens the store.
 */
final class ManifestRecovery {
    private static final long FIRST_GENERATION = 1;

    private final Disk[] disks;
    private final long now;
    private final RecoveryMode mode;
    private final IntegrityReport report;

    /**
     * @param now Unix milliseconds, the time recorded in a newly created manifest
     * @param report receives what was found and repaired
     */
    ManifestRecovery(Disk[] disks, long now, RecoveryMode mode, IntegrityReport report) {
        this.disks = disks;
        this.now = now;
        this.mode = mode;
        this.report = report;
    }

    /** Returns the current manifest; both folders hold it afterwards, except in {@link RecoveryMode#INSPECT}. */
    Manifest recover() throws IOException, StoreFault {
        byte[][] files = new byte[disks.length][];
        Manifest.ReadResult[] found = new Manifest.ReadResult[disks.length];
        Manifest manifest = null;
        for (int i = 0; i < disks.length; i++) {
            files[i] = AtomicFile.read(disks[i], Manifest.NAME);
            found[i] = Manifest.read(files[i]);
            manifest = higherGeneration(manifest, found[i], disks[i]);
        }
        if (manifest == null) {
            return create(files);
        }
        for (int i = 0; i < disks.length; i++) {
            FolderFiles.rejectForeignFiles(disks[i], found[i].manifest() != null);
            if (!manifest.hasBytes(files[i])) {
                repair(disks[i], manifest, difference(manifest, files[i], found[i].manifest()));
            }
        }
        return manifest;
    }

    private Manifest higherGeneration(Manifest known, Manifest.ReadResult found, Disk disk) throws StoreFault {
        if (found.state() == Format.HeaderState.OTHER_VERSION) {
            throw new StoreFault(StoreFault.Kind.UNSUPPORTED_VERSION, path(disk, Manifest.NAME)
                + " has a format version other than " + Format.VERSION);
        }
        Manifest other = found.manifest();
        if (known == null || other == null) {
            return known == null ? other : known;
        }
        if (!other.store().equals(known.store())) {
            throw new StoreFault(StoreFault.Kind.FOREIGN_FILES, disks[0].path() + " holds the store " + known.store()
                + ", " + disk.path() + " the store " + other.store());
        }
        return other.generation() > known.generation() ? other : known;
    }

    private static String difference(Manifest manifest, byte[] file, Manifest found) {
        if (found != null) {
            return "was of generation " + found.generation() + " of " + manifest.generation();
        }
        return file.length == 0 ? "was missing" : "was damaged";
    }

    private void repair(Disk disk, Manifest manifest, String difference) throws IOException {
        if (mode == RecoveryMode.INSPECT) {
            report.add(IntegrityReport.Kind.DIFFERS, path(disk, Manifest.NAME), difference);
        } else {
            manifest.write(disk);
            report.addRepaired(path(disk, Manifest.NAME), difference);
        }
    }

    /**
     * Handles two folders without an intact manifest: creates a new store if both are empty, otherwise fails unless the
     * operator accepts the loss.
     */
    private Manifest create(byte[][] files) throws IOException, StoreFault {
        for (int i = 0; i < disks.length; i++) {
            boolean hasSegments = disks[i].names().stream().anyMatch(name -> Format.idOf(name) >= 0);
            if (files[i].length > 0 || hasSegments) {
                report.add(IntegrityReport.Kind.DAMAGED, path(disks[i], Manifest.NAME), 0, IntegrityReport.NOT_APPLICABLE,
                    files[i].length == 0 ? "is missing" : "cannot be read");
                if (mode != RecoveryMode.ACCEPT_LOSS) {
                    throw new StoreFault(StoreFault.Kind.DAMAGED, report.firstDamage() + " in both folders");
                }
            }
            FolderFiles.rejectForeignFiles(disks[i], false);
        }
        Manifest manifest = mode == RecoveryMode.ACCEPT_LOSS && report.isDamaged() ? rebuild()
            : new Manifest(StoreId.random(), FIRST_GENERATION, 1, 1, now, List.of());
        if (mode != RecoveryMode.INSPECT) {
            manifest.replace(disks);
        }
        report.add(IntegrityReport.Kind.CREATED, disks[0].path(), "store " + manifest.store());
        return manifest;
    }

    /** Rebuilds a lost manifest from all segments whose header is intact, when the operator accepts the loss. */
    private Manifest rebuild() throws IOException, StoreFault {
        StoreId store = null;
        Map<Long, Manifest.Entry> entries = new TreeMap<>();
        for (Disk disk : disks) {
            for (String name : disk.names()) {
                byte[] file = readSegment(disk, name);
                if (file == null) {
                    continue;
                }
                StoreId owner = Format.storeOf(file);
                if (store != null && !store.equals(owner)) {
                    throw new StoreFault(StoreFault.Kind.FOREIGN_FILES, path(disk, name) + " belongs to the store "
                        + owner + ", others to " + store);
                }
                store = owner;
                long id = Format.int64(file, Format.SEGMENT_ID_AT);
                long length = Math.max(file.length, entries.containsKey(id) ? entries.get(id).length() : 0);
                entries.put(id, new Manifest.Entry(id, length, Format.int64(file, Format.FIRST_SEQUENCE_AT), 0, 0, 0));
            }
        }
        if (store == null) {
            throw new StoreFault(StoreFault.Kind.DAMAGED, "no segment in " + disks[0].path() + " or "
                + disks[1].path() + " has an intact header: the store's id is unknown");
        }
        long last = entries.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
        return new Manifest(store, FIRST_GENERATION, last + 1, 1, now, List.copyOf(entries.values()));
    }

    /** Returns the bytes of a segment file whose header is intact; null for any other file. */
    private static byte[] readSegment(Disk disk, String name) throws IOException {
        if (!name.endsWith(Format.SEGMENT_SUFFIX) || Format.idOf(name) < 0) {
            return null;
        }
        byte[] file = AtomicFile.read(disk, name);
        return Format.headerState(file, Format.SEGMENT_MAGIC, null, Format.SEGMENT_HEADER_BYTES) == Format.HeaderState.VALID
            ? file : null;
    }

    private static String path(Disk disk, String name) {
        return disk.path() + "/" + name;
    }
}
