package kelphollow.store;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;

/**
 * Tells the store's files from others by their names. Prevents opening a store in a folder with other files, and deletes
 * files that a crash has left. Stateless.
 */
final class FolderFiles {
    /** Suffix of the temporary file that replaces another one; part of the on-disk format, so it keeps its older name. */
    static final String REPLACEMENT_SUFFIX = ".heal";
    /** Folder that the file system creates at its root, which may be the store's folder. */
    private static final String LOST_AND_FOUND = "lost+found";

    private FolderFiles() {}

    /** Rejects a folder that has files of others and no manifest. */
    static void rejectForeignFiles(Disk disk, boolean hasManifest) throws IOException, StoreFault {
        for (String name : disk.names()) {
            if (!isStoreFile(name) && !hasManifest) {
                throw new StoreFault(StoreFault.Kind.FOREIGN_FILES, disk.path() + "/" + name
                    + " is not a store file, and " + disk.path() + " has no valid manifest: expected an empty folder");
            }
        }
    }

    private static boolean isStoreFile(String name) {
        return name.equals(FolderLocks.FILE_NAME) || name.equals(Manifest.NAME) || name.equals(Manifest.NEW_NAME)
            || name.equals(LOST_AND_FOUND) || Format.idOf(name) >= 0 || name.endsWith(REPLACEMENT_SUFFIX);
    }

    /** Deletes temporary files, and segments and hints that the manifest does not list: unfinished or replaced ones. */
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
