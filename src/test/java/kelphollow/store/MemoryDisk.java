package kelphollow.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A folder in memory that models a power cut: synced bytes of a file survive, unsynced bytes survive in any part and in any
 * order; file names survive as of the last sync of the folder, and any subset of the later changes is applied in order.
 * Faults can be injected at any operation. Thread-safe: all disks that share {@link Faults} use one monitor.
 */
final class MemoryDisk implements Disk {
    /** Selects the operation that fails and how. Both folders share one instance, which counts the operations of both. */
    static final class Faults {
        /** Kind of the fault; a disk that is full or has failed once keeps failing. */
        enum Kind {
            POWER_CUT, NO_SPACE, SHORT_WRITE, IO_ERROR, SYNC_FAILS
        }

        /** Number of operations so far. */
        int operations;
        /** The number of the first operation that fails. */
        int firstFailing = Integer.MAX_VALUE;
        Kind kind = Kind.POWER_CUT;
        private boolean hasPower = true;

        private enum Operation { APPEND, SYNC, OTHER }

        /** Counts an operation and returns its fault, or null. At a power cut the caller still writes part of an append. */
        private Kind next(Operation operation) throws PowerCut {
            if (!hasPower) {
                throw new PowerCut();
            }
            operations++;
            if (operations < firstFailing) {
                return null;
            }
            if (kind == Kind.POWER_CUT) {
                hasPower = false;
                if (operation == Operation.APPEND) {
                    return kind;
                }
                throw new PowerCut();
            }
            boolean fails = switch (kind) {
                case IO_ERROR -> true;
                case SYNC_FAILS -> operation == Operation.SYNC;
                default -> operation == Operation.APPEND;
            };
            return fails ? kind : null;
        }
    }

    /** Thrown by all operations from the power cut on. */
    static final class PowerCut extends IOException {
        private static final long serialVersionUID = 1;
    }

    /** A file: its bytes, of which the first {@code synced} are synced. */
    private static final class Node {
        private byte[] bytes = new byte[0];
        private int synced;

        /** A file with these bytes, all of them synced. */
        static Node synced(byte[] bytes) {
            Node node = new Node();
            node.bytes = bytes;
            node.synced = bytes.length;
            return node;
        }
    }

    private static final int MAX_CHUNK_BYTES = 48;

    private interface NameChange {
        void apply(Map<String, Node> names);
    }

    /** The faults of this disk. */
    final Faults faults;
    private final String path;
    /** Guards all state: the writer, the compactor and the sync of the second copy run on separate threads. */
    private final Object monitor;
    private final Map<String, Node> names = new TreeMap<>();
    private final Map<String, Node> syncedNames = new TreeMap<>();
    private final List<NameChange> unsyncedChanges = new ArrayList<>();
    private boolean locked;

    MemoryDisk(String path, Faults faults) {
        this.path = path;
        this.faults = faults;
        this.monitor = faults;
    }

    /** A disk with the same bytes, all of them synced, and no lock. */
    MemoryDisk copy(Faults newFaults) {
        MemoryDisk copy = new MemoryDisk(path, newFaults);
        names.forEach((name, node) -> copy.set(name, node.bytes.clone()));
        return copy;
    }

    /** A disk as a power cut may leave it, chosen by this random source; without faults. */
    MemoryDisk afterPowerCut(Random random) {
        Map<String, Node> left = new TreeMap<>(syncedNames);
        for (NameChange change : unsyncedChanges) {
            if (random.nextBoolean()) {
                change.apply(left);
            }
        }
        MemoryDisk after = new MemoryDisk(path, new Faults());
        left.forEach((name, node) -> after.set(name, afterPowerCut(node, random)));
        return after;
    }

    /** Keeps the unsynced bytes up to a random length, each chunk of them as written, as zeros, or as random bytes. */
    private static byte[] afterPowerCut(Node node, Random random) {
        int length = node.synced + random.nextInt(node.bytes.length - node.synced + 1);
        byte[] left = Arrays.copyOf(node.bytes, length);
        boolean inOrder = random.nextBoolean();
        int at = node.synced;
        while (at < length && !inOrder) {
            int end = Math.min(length, at + 1 + random.nextInt(MAX_CHUNK_BYTES));
            switch (random.nextInt(4)) {
                case 0 -> Arrays.fill(left, at, end, (byte) 0);
                case 1 -> {
                    for (int i = at; i < end; i++) {
                        left[i] = (byte) random.nextInt();
                    }
                }
                default -> {}
            }
            at = end;
        }
        return left;
    }

    /** The array that backs a file; modifying it damages the file. */
    byte[] bytes(String name) {
        return names.get(name).bytes;
    }

    /** Sets the contents of a file as synced, without counting an operation. */
    void set(String name, byte[] bytes) {
        Node node = Node.synced(bytes);
        names.put(name, node);
        syncedNames.put(name, node);
    }

    /** Removes a file without counting an operation. */
    void remove(String name) {
        names.remove(name);
        syncedNames.remove(name);
    }

    /** Whether both have the same files with the same bytes. */
    boolean hasSameFiles(MemoryDisk other) {
        return names.keySet().equals(other.names.keySet())
            && names.keySet().stream().allMatch(name -> Arrays.equals(bytes(name), other.bytes(name)));
    }

    /** The names of all files that end with this suffix. */
    List<String> names(String suffix) {
        return names().stream().filter(name -> name.endsWith(suffix)).toList();
    }

    @Override public String path() {
        return path;
    }

    @Override public void prepare() {}

    @Override public Set<String> names() {
        synchronized (monitor) {
            return new TreeSet<>(names.keySet());
        }
    }

    @Override public File create(String name) throws IOException {
        synchronized (monitor) {
            if (names.containsKey(name)) {
                throw new IOException(name + " exists already");
            }
            failIfFaulty();
            Node node = new Node();
            change(current -> current.put(name, node));
            return new OpenFile(node);
        }
    }

    private void failIfFaulty() throws IOException {
        if (faults.next(Faults.Operation.OTHER) != null) {
            throw new IOException("input/output error");
        }
    }

    private void change(NameChange change) {
        change.apply(names);
        unsyncedChanges.add(change);
    }

    @Override public File open(String name) throws IOException {
        synchronized (monitor) {
            Node node = names.get(name);
            if (node == null) {
                throw new IOException(name + " does not exist");
            }
            return new OpenFile(node);
        }
    }

    @Override public void rename(String from, String to) throws IOException {
        synchronized (monitor) {
            failIfFaulty();
            change(current -> {
                Node node = current.remove(from);
                if (node != null) {
                    current.put(to, node);
                }
            });
        }
    }

    @Override public void delete(String name) throws IOException {
        synchronized (monitor) {
            if (names.containsKey(name)) {
                failIfFaulty();
                change(current -> current.remove(name));
            }
        }
    }

    @Override public void syncFolder() throws IOException {
        synchronized (monitor) {
            if (faults.next(Faults.Operation.SYNC) != null) {
                throw new IOException("sync failed");
            }
            unsyncedChanges.clear();
            syncedNames.clear();
            syncedNames.putAll(names);
        }
    }

    @Override public Closeable lock(String name) {
        if (locked) {
            return null;
        }
        locked = true;
        return () -> locked = false;
    }

    private final class OpenFile implements File {
        private final Node node;

        OpenFile(Node node) {
            this.node = node;
        }

        @Override public long size() {
            synchronized (monitor) {
                return node.bytes.length;
            }
        }

        @Override public void read(ByteBuffer into, long offset) {
            synchronized (monitor) {
                int count = (int) Math.max(0, Math.min(into.remaining(), node.bytes.length - offset));
                into.put(node.bytes, (int) offset, count);
            }
        }

        @Override public void append(ByteBuffer bytes) throws IOException {
            synchronized (monitor) {
                Faults.Kind fault = faults.next(Faults.Operation.APPEND);
                int count = written(fault, bytes.remaining());
                int at = node.bytes.length;
                node.bytes = Arrays.copyOf(node.bytes, at + count);
                bytes.get(node.bytes, at, count);
                if (fault == Faults.Kind.POWER_CUT) {
                    throw new PowerCut();
                }
                if (fault != null) {
                    throw new IOException(fault == Faults.Kind.NO_SPACE ? "no space left on device" : "input/output error");
                }
            }
        }

        private static int written(Faults.Kind fault, int count) {
            if (fault == null) {
                return count;
            }
            return fault == Faults.Kind.NO_SPACE || fault == Faults.Kind.IO_ERROR ? 0 : count / 2;
        }

        @Override public void sync() throws IOException {
            synchronized (monitor) {
                if (faults.next(Faults.Operation.SYNC) != null) {
                    throw new IOException("sync failed");
                }
                node.synced = node.bytes.length;
            }
        }

        @Override public void close() {}
    }
}
