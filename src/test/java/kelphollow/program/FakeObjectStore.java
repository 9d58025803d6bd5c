package kelphollow.program;

import java.io.ByteArrayOutputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Keeps objects and uploads in memory, by S3's public description, and counts every write of a part or an object. */
final class FakeObjectStore {
    private static final Pattern UPLOAD_ID = Pattern.compile("uploadId=([^&]+)");
    private static final Pattern PART_NUMBER = Pattern.compile("partNumber=(\\d+)");
    private static final Pattern MARKER = Pattern.compile("part-number-marker=(\\d+)");
    private static final Pattern RANGE = Pattern.compile("bytes=(\\d+)-(\\d+)");
    private static final byte[] NO_BODY = {};

    /** The bytes of an object or part, and its entity tag including the quotes. */
    record Stored(byte[] bytes, String etag) {
        static Stored of(byte[] bytes) {
            return new Stored(bytes, '"' + md5(bytes) + '"');
        }
    }

    /** A parsed request; {@code uploadId()} is null if the request does not belong to an upload. */
    record Request(String method, String uri, Map<String, String> headers, byte[] body) {
        String path() {
            return uri.replaceAll("\\?.*", "");
        }

        String uploadId() {
            return parameter(UPLOAD_ID);
        }

        String parameter(Pattern name) {
            Matcher matcher = name.matcher(uri);
            return matcher.find() ? matcher.group(1) : null;
        }
    }

    /** A response; {@code headers} holds header lines including their line ends. */
    record Response(String status, String headers, byte[] body) {
        static Response of(String status, String body) {
            return new Response(status, "", body.getBytes());
        }
    }

    final Map<String, Stored> objects = new ConcurrentHashMap<>();
    final Map<String, TreeMap<Integer, Stored>> uploads = new ConcurrentHashMap<>();
    /** How often each part was stored, by upload id and part number. */
    final Map<String, Integer> partWrites = new ConcurrentHashMap<>();
    final Map<String, Integer> objectWrites = new ConcurrentHashMap<>();

    static String md5(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("MD5").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Executes a request. */
    synchronized Response answer(Request request) {
        String upload = request.uploadId();
        if (request.method.equals("POST") && upload == null) {
            return beginUpload();
        }
        if (upload != null) {
            return uploads.containsKey(upload) ? answerOfUpload(request, upload)
                : Response.of("404 Not Found", "<Error><Code>NoSuchUpload</Code></Error>");
        }
        return switch (request.method) {
            case "PUT" -> put(request);
            case "DELETE" -> {
                objects.remove(request.path());
                yield Response.of("204 No Content", "");
            }
            default -> get(request);
        };
    }

    private Response beginUpload() {
        String name = "u" + (uploads.size() + 1);
        uploads.put(name, new TreeMap<>());
        return Response.of("200 OK",
            "<InitiateMultipartUploadResult><UploadId>" + name + "</UploadId></InitiateMultipartUploadResult>");
    }

    private Response answerOfUpload(Request request, String upload) {
        return switch (request.method) {
            case "PUT" -> putPart(request, upload);
            case "GET" -> listParts(request, upload);
            case "POST" -> complete(request, upload);
            case "DELETE" -> {
                uploads.remove(upload);
                yield Response.of("204 No Content", "");
            }
            default -> throw new IllegalStateException(request.method + " of an upload");
        };
    }

    private Response putPart(Request request, String upload) {
        String number = request.parameter(PART_NUMBER);
        Stored stored = Stored.of(request.body);
        uploads.get(upload).put(Integer.parseInt(number), stored);
        partWrites.merge(upload + '#' + number, 1, Integer::sum);
        return new Response("200 OK", "ETag: " + stored.etag + "\r\n", NO_BODY);
    }

    private Response listParts(Request request, String upload) {
        String marker = request.parameter(MARKER);
        int after = marker == null ? 0 : Integer.parseInt(marker);
        StringBuilder xml = new StringBuilder("<ListPartsResult><UploadId>" + upload + "</UploadId>");
        uploads.get(upload).tailMap(after, false).forEach((number, part) -> xml.append("<Part><PartNumber>")
            .append(number).append("</PartNumber><ETag>").append(part.etag.replace("\"", "&quot;"))
            .append("</ETag><Size>").append(part.bytes.length).append("</Size></Part>"));
        return Response.of("200 OK", xml.append("</ListPartsResult>").toString());
    }

    private Response complete(Request request, String upload) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        uploads.remove(upload).values().forEach(part -> bytes.writeBytes(part.bytes));
        objects.put(request.path(), new Stored(bytes.toByteArray(), "\"whole\""));
        return Response.of("200 OK", "<CompleteMultipartUploadResult/>");
    }

    private Response put(Request request) {
        Stored stored = Stored.of(request.body);
        objects.put(request.path(), stored);
        objectWrites.merge(request.path(), 1, Integer::sum);
        return new Response("200 OK", "ETag: " + stored.etag + "\r\n", NO_BODY);
    }

    private Response get(Request request) {
        Stored object = objects.get(request.path());
        if (object == null) {
            return Response.of("404 Not Found", "<Error><Code>NoSuchKey</Code></Error>");
        }
        String etag = "ETag: " + object.etag + "\r\n";
        String expected = request.headers.get("If-Match");
        if (expected != null && !expected.equals(object.etag)) {
            return new Response("412 Precondition Failed", etag, NO_BODY);
        }
        Matcher range = RANGE.matcher(request.headers.getOrDefault("Range", ""));
        if (!range.matches()) {
            return new Response("200 OK", etag, object.bytes);
        }
        int from = Integer.parseInt(range.group(1));
        int to = Integer.parseInt(range.group(2));
        return new Response("206 Partial Content",
            etag + "Content-Range: bytes " + from + "-" + to + "/" + object.bytes.length + "\r\n",
            Arrays.copyOfRange(object.bytes, from, to + 1));
    }
}
