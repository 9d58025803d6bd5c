package kelphollow.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Set;

/**
 * A folder whose process ends at a chosen append: half of that append's bytes reach the file, and nothing after it
 * reaches any folder of the same process. Reading goes on. For one thread.
 */
final class CutDisk implements Disk {
    /** The process that writes to both folders, and where it ends. */
    static final class Process {
        private final Runnable atCut;
        private String folder;
        private String nameEnding;
        private boolean cut;

        /** @param atCut called once half of the append is written, for a process that ends for real */
        Process(Runnable atCut) {
            this.atCut = atCut;
        }

        /** Ends the process at the next append in this folder to a file whose name ends like this. */
        void cutAt(String inFolder, String toNameEnding) {
            folder = inFolder;
            nameEnding = toNameEnding;
        }

        private void requireRunning() throws Cut {
            if (cut) {
                throw new Cut();
            }
        }

        private boolean endsAt(String inFolder, String name) {
            return folder != null && folder.equals(inFolder) && name.endsWith(nameEnding);
        }

        private void end() throws Cut {
            cut = true;
            atCut.run();
            throw new Cut();
        }
    }

    /** The process has ended: nothing is written any more. */
    static final class Cut extends IOException {
        private static final long serialVersionUID = 1;

        Cut() {
            super("the process has ended");
        }
    }

    private final String folder;
    private final Disk disk;
    private final Process process;

    /**
     * @param folder the name by which {@link Process#cutAt} knows this folder
     * @param disk what is written to until the cut
     */
    CutDisk(String folder, Disk disk, Process process) {
        this.folder = folder;
        this.disk = disk;
        this.process = process;
    }

    @Override public String place() {
        return disk.place();
    }

    @Override public void prepare() throws IOException {
        disk.prepare();
    }

    @Override public Set<String> names() throws IOException {
        return disk.names();
    }

    @Override public File create(String name) throws IOException {
        process.requireRunning();
        return new CutFile(name, disk.create(name));
    }

    @Override public File open(String name) throws IOException {
        return new CutFile(name, disk.open(name));
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

    private final class CutFile implements File {
        private final String name;
        private final File file;

        CutFile(String name, File file) {
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
            if (process.endsAt(folder, name)) {
                file.append(bytes.slice(bytes.position(), bytes.remaining() / 2));
                process.end();
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
