package kelphollow.program;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An object server on the loopback, from S3's public description, that counts every part it stores. */
final class StandInServer implements AutoCloseable {
    /** What the next request whose line begins so meets with. */
    record Fault(String line, Kind kind, int after, CountDownLatch gate) {
        enum Kind { CUT, CRASH_BEFORE, CRASH_AFTER, HOLD, REFUSE }

        static Fault of(String line, Kind kind) {
            return new Fault(line, kind, 0, new CountDownLatch(1));
        }
    }

    record Stored(byte[] bytes, String etag) {}

    final Map<String, Stored> objects = new ConcurrentHashMap<>();
    final Map<String, TreeMap<Integer, Stored>> uploads = new ConcurrentHashMap<>();
    /** How often each part was stored, by upload and number. */
    final Map<String, Integer> partWrites = new ConcurrentHashMap<>();
    final Map<String, Integer> objectWrites = new ConcurrentHashMap<>();
    final ConcurrentLinkedDeque<Fault> faults = new ConcurrentLinkedDeque<>();
    /** Request lines with their Range and If-Match, as they come. */
    final BlockingQueue<String> seen = new LinkedBlockingQueue<>();
    /** Request lines that have come whole and are held. */
    final BlockingQueue<String> held = new LinkedBlockingQueue<>();
    /** Runs before the connection of a cut answer ends. */
    volatile Runnable afterCut = () -> {};
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket listener;
    private volatile boolean closed;

    StandInServer() throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        thread(() -> {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                if (closed) {
                    socket.close();        // the kernel may take one more while the listener is being closed
                } else {
                    thread(() -> serve(socket));
                }
            }
        });
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void thread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // the connection or the server is closed
            } catch (Exception e) {
                throw new IllegalStateException(e);   // the stand-in itself is at fault: let it be seen
            }
        }, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    static String md5(byte[] bytes) throws Exception {
        return HexFormat.of().formatHex(MessageDigest.getInstance("MD5").digest(bytes));
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (String line; (line = line(in)) != null && !line.isEmpty();) {
                Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
                for (String header; !(header = line(in)).isEmpty();) {
                    headers.put(header.substring(0, header.indexOf(':')), header.substring(header.indexOf(':') + 1).strip());
                }
                seen.add(line + (headers.containsKey("Range") ? " " + headers.get("Range") : "")
                    + (headers.containsKey("If-Match") ? " " + headers.get("If-Match") : ""));
                String request = line;
                Fault fault = faults.stream().filter(f -> request.startsWith(f.line)).findFirst().orElse(null);
                if (fault != null) {
                    faults.remove(fault);
                }
                Fault.Kind kind = fault == null ? null : fault.kind;
                if (kind == Fault.Kind.REFUSE) {
                    write(out, "503 Slow Down", "", new byte[0]);
                    continue;
                }
                if ("100-continue".equalsIgnoreCase(headers.get("Expect"))) {
                    out.write("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                }
                byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
                if (body.length < Integer.parseInt(headers.getOrDefault("Content-Length", "0"))) {
                    return;
                }
                if (kind == Fault.Kind.CRASH_BEFORE) {
                    return;
                }
                if (kind == Fault.Kind.HOLD) {
                    held.add(line);
                    fault.gate.await();
                }
                int limit = kind == Fault.Kind.CUT ? fault.after : -1;
                if (!answer(line, headers, body, out, limit, kind == Fault.Kind.CRASH_AFTER)) {
                    return;
                }
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c; (c = in.read()) >= 0;) {
            if (c == '\n') {
                return line.toString().strip();
            }
            line.append((char) c);
        }
        return null;
    }

    private synchronized boolean answer(String line, Map<String, String> headers, byte[] body, OutputStream out, int limit,
        boolean crash) throws Exception {
        String[] words = line.split(" ");
        String path = words[1].replaceAll("\\?.*", "");
        Matcher id = Pattern.compile("uploadId=([^&]+)").matcher(words[1]);
        String upload = id.find() ? id.group(1) : null;
        Matcher number = Pattern.compile("partNumber=(\\d+)").matcher(words[1]);
        String status = "200 OK", extra = "";
        byte[] answer = new byte[0];
        if (words[0].equals("POST") && upload == null) {
            String name = "u" + (uploads.size() + 1);
            uploads.put(name, new TreeMap<>());
            answer = ("<InitiateMultipartUploadResult><UploadId>" + name + "</UploadId></InitiateMultipartUploadResult>")
                .getBytes();
        } else if (upload != null && !uploads.containsKey(upload)) {
            status = "404 Not Found";
            answer = "<Error><Code>NoSuchUpload</Code></Error>".getBytes();
        } else if (words[0].equals("PUT") && upload != null && number.find()) {
            Stored stored = new Stored(body, '"' + md5(body) + '"');
            uploads.get(upload).put(Integer.parseInt(number.group(1)), stored);
            partWrites.merge(upload + '#' + number.group(1), 1, Integer::sum);
            extra = "ETag: " + stored.etag + "\r\n";
        } else if (words[0].equals("GET") && upload != null) {
            Matcher marker = Pattern.compile("part-number-marker=(\\d+)").matcher(words[1]);
            int after = marker.find() ? Integer.parseInt(marker.group(1)) : 0;
            StringBuilder xml = new StringBuilder("<ListPartsResult><UploadId>" + upload + "</UploadId>");
            uploads.get(upload).tailMap(after, false).forEach((n, p) -> xml.append("<Part><PartNumber>").append(n)
                .append("</PartNumber><ETag>").append(p.etag.replace("\"", "&quot;")).append("</ETag><Size>")
                .append(p.bytes.length).append("</Size></Part>"));
            answer = xml.append("</ListPartsResult>").toString().getBytes();
        } else if (words[0].equals("POST")) {
            java.io.ByteArrayOutputStream whole = new java.io.ByteArrayOutputStream();
            uploads.remove(upload).values().forEach(p -> whole.writeBytes(p.bytes));
            objects.put(path, new Stored(whole.toByteArray(), "\"whole\""));
            answer = "<CompleteMultipartUploadResult/>".getBytes();
        } else if (words[0].equals("PUT")) {
            objects.put(path, new Stored(body, '"' + md5(body) + '"'));
            objectWrites.merge(path, 1, Integer::sum);
            extra = "ETag: " + objects.get(path).etag + "\r\n";
        } else if (words[0].equals("DELETE")) {
            status = "204 No Content";
            if (upload != null) {
                uploads.remove(upload);
            } else {
                objects.remove(path);
            }
        } else if (!objects.containsKey(path)) {
            status = "404 Not Found";
            answer = "<Error><Code>NoSuchKey</Code></Error>".getBytes();
        } else {
            Stored object = objects.get(path);
            answer = object.bytes;
            extra = "ETag: " + object.etag + "\r\n";
            Matcher range = Pattern.compile("bytes=(\\d+)-(\\d+)").matcher(headers.getOrDefault("Range", ""));
            if (headers.containsKey("If-Match") && !headers.get("If-Match").equals(object.etag)) {
                status = "412 Precondition Failed";
                answer = new byte[0];
            } else if (range.matches()) {
                int from = Integer.parseInt(range.group(1)), to = Integer.parseInt(range.group(2));
                status = "206 Partial Content";
                extra += "Content-Range: bytes " + from + "-" + to + "/" + answer.length + "\r\n";
                answer = java.util.Arrays.copyOfRange(answer, from, to + 1);
            }
        }
        if (crash) {
            return false;
        }
        String head = "HTTP/1.1 " + status + "\r\n" + extra + "Content-Length: " + answer.length + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        boolean bare = words[0].equals("HEAD");
        out.write(answer, 0, bare ? 0 : limit < 0 ? answer.length : limit);
        if (limit >= 0) {
            afterCut.run();
        }
        return limit < 0;
    }

    private static void write(OutputStream out, String status, String extra, byte[] body) throws IOException {
        out.write(("HTTP/1.1 " + status + "\r\n" + extra + "Content-Length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
        out.write(body);
    }

    /** The process dies: its connections break and new ones are refused. */
    @Override public void close() throws IOException {
        closed = true;
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
