package kelphollow.store;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The first step of an opening: finds the manifest of the higher generation and puts it in both folders, or makes one
 * for a new store. Guards against two folders of different stores, and against a new store in place of a damaged one.
 */
final class ManifestRecovery {
    private final Disk[] disks;
    private final long now;
    private final StoreOpener.Loss loss;
    private final Report report;

    /**
     * @param now Unix milliseconds, the time of a manifest that is made anew
     * @param loss whether anything may be changed, and given up
     * @param report is told what was found and done
     */
    ManifestRecovery(Disk[] disks, long now, StoreOpener.Loss loss, Report report) {
        this.disks = disks;
        this.now = now;
        this.loss = loss;
        this.report = report;
    }

    /** The manifest in force, which both folders hold from here on if anything may be changed. */
    Manifest recover() throws IOException, StoreFault {
        Manifest manifest = null;
        byte[][] bytes = new byte[disks.length][];
        Manifest.Found[] found = new Manifest.Found[disks.length];
        for (int i = 0; i < disks.length; i++) {
            bytes[i] = AtomicFile.read(disks[i], Manifest.NAME);
            found[i] = Manifest.read(bytes[i]);
            if (found[i].start() == Format.Start.OTHER_VERSION) {
                throw new StoreFault(StoreFault.Kind.VERSION, path(disks[i], Manifest.NAME)
                    + " has a format version other than " + Format.VERSION);
            }
            Manifest m = found[i].manifest();
            if (m != null && manifest != null && !m.store().equals(manifest.store())) {
                throw new StoreFault(StoreFault.Kind.FOREIGN, disks[0].place() + " holds the store " + manifest.store()
                    + ", " + disks[i].place() + " the store " + m.store());
            }
            if (m != null && (manifest == null || m.generation() > manifest.generation())) {
                manifest = m;
            }
        }
        if (manifest == null) {
            return begin(bytes);
        }
        for (int i = 0; i < disks.length; i++) {
            FolderFiles.refuseStrangers(disks[i], found[i].manifest() != null);
            if (manifest.isSame(bytes[i])) {
                continue;
            }
            String was = found[i].manifest() != null
                ? "was of generation " + found[i].manifest().generation() + " of " + manifest.generation()
                : bytes[i].length == 0 ? "was missing" : "was damaged";
            if (loss != StoreOpener.Loss.LOOK) {
                manifest.write(disks[i]);
                report.repaired(path(disks[i], Manifest.NAME), was);
            } else {
                report.add("differs", path(disks[i], Manifest.NAME), -1, -1, was);
            }
        }
        return manifest;
    }

    /** Neither folder has a manifest that can be read: a new store if they hold nothing, else somebody has to look. */
    private Manifest begin(byte[][] bytes) throws IOException, StoreFault {
        for (int i = 0; i < disks.length; i++) {
            boolean hasSegments = disks[i].names().stream().anyMatch(n -> Format.idOf(n) >= 0);
            if (bytes[i].length > 0 || hasSegments) {
                report.damaged(path(disks[i], Manifest.NAME), 0, -1, bytes[i].length == 0 ? "is missing" : "cannot be read");
                if (loss != StoreOpener.Loss.ACCEPT) {
                    throw new StoreFault(StoreFault.Kind.DAMAGED, report.firstDamage() + " in both folders");
                }
            }
            FolderFiles.refuseStrangers(disks[i], false);
        }
        Manifest manifest = loss == StoreOpener.Loss.ACCEPT && report.isDamaged() ? fromSegments()
            : new Manifest(StoreId.draw(), 1, 1, 1, now, List.of());
        if (loss != StoreOpener.Loss.LOOK) {
            manifest.replace(disks);
        }
        report.add("created", disks[0].place(), -1, -1, "store " + manifest.store());
        return manifest;
    }

    /** The operator accepts the loss of both manifests: all segments whose header can be read make up the store. */
    private Manifest fromSegments() throws IOException, StoreFault {
        StoreId store = null;
        Map<Long, Manifest.Entry> entries = new TreeMap<>();
        for (Disk disk : disks) {
            for (String name : disk.names()) {
                byte[] bytes = name.endsWith(".seg") && Format.idOf(name) >= 0 ? AtomicFile.read(disk, name) : new byte[0];
                if (Format.start(bytes, Format.SEGMENT_MAGIC, null, Format.SEGMENT_HEADER) != Format.Start.SOUND) {
                    continue;
                }
                StoreId of = new StoreId(Format.int64(bytes, 16), Format.int64(bytes, 24));
                if (store != null && !store.equals(of)) {
                    throw new StoreFault(StoreFault.Kind.FOREIGN, path(disk, name) + " belongs to the store " + of
                        + ", others to " + store);
                }
                store = of;
                long id = Format.int64(bytes, 32);
                long length = Math.max(bytes.length, entries.containsKey(id) ? entries.get(id).length() : 0);
                entries.put(id, new Manifest.Entry(id, length, Format.int64(bytes, 40), 0, 0, 0));
            }
        }
        if (store == null) {
            throw new StoreFault(StoreFault.Kind.DAMAGED, "no segment in " + disks[0].place() + " or "
                + disks[1].place() + " tells which store it belongs to");
        }
        long last = entries.keySet().stream().mapToLong(x -> x).max().orElse(0);
        return new Manifest(store, 1, last + 1, 1, now, List.copyOf(entries.values()));
    }

    private static String path(Disk disk, String name) {
        return disk.place() + "/" + name;
    }
}
