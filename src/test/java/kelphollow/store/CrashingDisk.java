package kelphollow.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Set;

/**
 * Simulates a process crash at a chosen append: half of the appended bytes reach the file, and all later writes to any
 * folder of the same process fail. Reads still work. For one thread.
 */
final class CrashingDisk implements Disk {
    /** The simulated process that writes to both folders, and the append at which it crashes. */
    static final class Process {
        private final Runnable onCrash;
        private String folder;
        private String nameEnding;
        private boolean crashed;

        /** @param onCrash called after half of the append is written; it may halt the JVM */
        Process(Runnable onCrash) {
            this.onCrash = onCrash;
        }

        /** Crashes the process at the next append in this folder to a file whose name ends with this suffix. */
        void crashAt(String inFolder, String toNameEnding) {
            folder = inFolder;
            nameEnding = toNameEnding;
        }

        private void requireRunning() throws ProcessEnded {
            if (crashed) {
                throw new ProcessEnded();
            }
        }

        private boolean crashesAt(String inFolder, String name) {
            return folder != null && folder.equals(inFolder) && name.endsWith(nameEnding);
        }

        private void crash() throws ProcessEnded {
            crashed = true;
            onCrash.run();
            throw new ProcessEnded();
        }
    }

    /** Thrown by all writes after the crash. */
    static final class ProcessEnded extends IOException {
        private static final long serialVersionUID = 1;

        ProcessEnded() {
            super("the process has ended");
        }
    }

    private final String folder;
    private final Disk disk;
    private final Process process;

    /**
     * @param folder name of this folder for {@link Process#crashAt}
     * @param disk the disk that receives the writes before the crash
     */
    CrashingDisk(String folder, Disk disk, Process process) {
        this.folder = folder;
        this.disk = disk;
        this.process = process;
    }

    @Override public String path() {
        return disk.path();
    }

    @Override public void prepare() throws IOException {
        disk.prepare();
    }

    @Override public Set<String> names() throws IOException {
        return disk.names();
    }

    @Override public File create(String name) throws IOException {
        process.requireRunning();
        return new CrashingFile(name, disk.create(name));
    }

    @Override public File open(String name) throws IOException {
        return new CrashingFile(name, disk.open(name));
    }

    @Override public void rename(String from, String to) throws IOException {
        process.requireRunning();
        disk.rename(from, to);
    }

    @Override public void delete(String name) throws IOException {
        process.requireRunning();
        disk.delete(name);
    }

    @Override public void syncFolder() throws IOException {
        process.requireRunning();
        disk.syncFolder();
    }

    @Override public Closeable lock(String name) throws IOException {
        return disk.lock(name);
    }

    private final class CrashingFile implements File {
        private final String name;
        private final File file;

        CrashingFile(String name, File file) {
            this.name = name;
            this.file = file;
        }

        @Override public long size() throws IOException {
            return file.size();
        }

        @Override public void read(ByteBuffer into, long offset) throws IOException {
            file.read(into, offset);
        }

        @Override public void append(ByteBuffer bytes) throws IOException {
            process.requireRunning();
            if (process.crashesAt(folder, name)) {
                file.append(bytes.slice(bytes.position(), bytes.remaining() / 2));
                process.crash();
            }
            file.append(bytes);
        }

        @Override public void sync() throws IOException {
            process.requireRunning();
            file.sync();
        }

        @Override public void close() throws IOException {
            file.close();
        }
    }
}
