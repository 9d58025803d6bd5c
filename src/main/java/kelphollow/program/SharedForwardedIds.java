package kelphollow.program;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.UUID;
import java.util.logging.Logger;
import java.util.stream.Stream;
import kelphollow.protocol.resp.ForwardedIds;
import kelphollow.protocol.resp.RecentForwardedIds;

/**
 * The forwarded ids of all processes that use a folder one after the other or, in an upgrade, at the same time: an empty
 * file each, named by a digest of the id. Creating it is atomic, so that of two processes only one forwards a request. A
 * folder that fails leaves each process with the ids of its own. Confined to the event loop; the folder is in memory.
 */
final class SharedForwardedIds implements ForwardedIds {
    private static final Logger LOG = Logger.getLogger(SharedForwardedIds.class.getName());

    private final Path folder;
    private final RecentForwardedIds recent = new RecentForwardedIds(this::delete);
    private boolean failureLogged;

    /** Opens the folder, which is created if need be, and takes over the ids that earlier processes left in it. */
    SharedForwardedIds(Path folder) {
        this.folder = folder;
        try {
            Files.createDirectories(folder);
            byAge().forEach(recent::add);
        } catch (IOException e) {
            failed(e);
        }
    }

    private List<String> byAge() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.sorted(Comparator.comparingLong(file -> file.toFile().lastModified()))
                .map(file -> file.getFileName().toString()).toList();
        }
    }

    private static String digest(String id) {
        return UUID.nameUUIDFromBytes(id.getBytes(StandardCharsets.UTF_8)).toString();
    }

    @Override public boolean contains(String id) {
        String digest = digest(id);
        return recent.contains(digest) || Files.exists(folder.resolve(digest));
    }

    @Override public boolean add(String id) {
        String digest = digest(id);
        if (!recent.add(digest)) {
            return false;
        }
        try {
            Files.createFile(folder.resolve(digest));
        } catch (FileAlreadyExistsException e) {
            return false;
        } catch (IOException e) {
            failed(e);
        }
        return true;
    }

    @Override public void remove(String id) {
        String digest = digest(id);
        recent.remove(digest);
        delete(digest);
    }

    private void delete(String digest) {
        try {
            Files.deleteIfExists(folder.resolve(digest));
        } catch (IOException e) {
            failed(e);
        }
    }

    private void failed(IOException e) {
        if (!failureLogged) {
            failureLogged = true;
            LOG.warning("forwarded ids are not shared with other processes: " + e);
        }
    }
}
