package kelphollow.store;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;

/**
 * Which files in a folder are the store's. Guards other files against a store that is opened in the wrong folder, and
 * deletes what a crash has left. Stateless.
 */
final class FolderFiles {
    /** Suffix of a file that is about to replace another one; part of the format on disk, so it keeps its older name. */
    static final String REPLACEMENT_SUFFIX = ".heal";
    /** A folder of the file system itself, at the root of a volume. */
    private static final String LOST_AND_FOUND = "lost+found";

    private FolderFiles() {}

    /** Rejects a folder that has other files and in which this store has nothing yet. */
    static void rejectForeignFiles(Disk disk, boolean hasManifest) throws IOException, StoreFault {
        for (String name : disk.names()) {
            if (!isStoreFile(name) && !hasManifest) {
                throw new StoreFault(StoreFault.Kind.FOREIGN_FILES, disk.path() + "/" + name
                    + " is not the store's, and " + disk.path() + " is no store yet: it must be empty");
            }
        }
    }

    private static boolean isStoreFile(String name) {
        return name.equals(FolderLocks.FILE_NAME) || name.equals(Manifest.NAME) || name.equals(Manifest.NEW_NAME)
            || name.equals(LOST_AND_FOUND) || Format.idOf(name) >= 0 || name.endsWith(REPLACEMENT_SUFFIX);
    }

    /** Deletes files that were begun for a manifest that never came into force, or replaced by one that did. */
    static void deleteUnlisted(Disk[] disks, Manifest manifest) throws IOException {
        Set<String> listed = new HashSet<>();
        for (Manifest.Entry entry : manifest.segments()) {
            listed.add(Format.segmentName(entry.id()));
            if (entry.hintLength() > 0) {
                listed.add(Format.hintName(entry.id()));
            }
        }
        for (Disk disk : disks) {
            boolean deleted = false;
            for (String name : disk.names()) {
                if (isTemporary(name) || Format.idOf(name) >= 0 && !listed.contains(name)) {
                    disk.delete(name);
                    deleted = true;
                }
            }
            if (deleted) {
                disk.syncFolder();
            }
        }
    }

    private static boolean isTemporary(String name) {
        return name.equals(Manifest.NEW_NAME) || name.endsWith(REPLACEMENT_SUFFIX)
            && Format.idOf(name.substring(0, name.length() - REPLACEMENT_SUFFIX.length())) >= 0;
    }
}
