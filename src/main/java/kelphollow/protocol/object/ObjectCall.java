package kelphollow.protocol.object;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32;

/**
 * A client's request to the object API.
 *
 * @param length length of its body in bytes
 * @param rangeLength bytes of the range that it reads, negative if not known beforehand
 * @param uploadId null unless it belongs to a multipart upload
 * @param partNumber 0 unless it is for a part
 */
record ObjectCall(Operation op, HttpMethod method, String uri, String bucket, String key, HttpHeaders headers, long length,
                  long rangeLength, String uploadId, int partNumber) {
    /** The operations, and whether they are idempotent. */
    enum Operation {
        GET(true), HEAD(true), LIST_PARTS(true), PUT(false), DELETE(false), CREATE(false), PART(false),
        COMPLETE(false), ABORT(false);

        private final boolean idempotent;

        Operation(boolean idempotent) {
            this.idempotent = idempotent;
        }

        boolean isIdempotent() {
            return idempotent;
        }

        boolean hasBody() {
            return this == PUT || this == PART || this == COMPLETE;
        }
    }

    /** Largest size in bytes of a document in the body of a call or of a response. */
    static final int MAX_DOCUMENT_BYTES = 1024 * 1024;
    private static final int MAX_KEY_BYTES = 1024;
    private static final int MAX_PART_NUMBER = 10_000;
    private static final int MAX_RETRY_HEADER_LENGTH = 100;
    private static final long UNKNOWN_LENGTH = -1;
    // S3 SDKs send "attempt=2; max=3" with each attempt, in any order, with or without blanks.
    private static final String RETRY_HEADER = "amz-sdk-request";
    private static final Pattern LATER_ATTEMPT = Pattern.compile("(^|.*;\\s*)attempt=([2-9]|[1-9]\\d{1,4})\\s*(;.*|$)");
    private static final Set<String> SUPPORTED_QUERY_PARAMETERS = Set.of("uploads", "uploadId", "partNumber", "max-parts",
        "part-number-marker", "x-id");
    private static final Pattern RANGE = Pattern.compile("bytes=(\\d{0,18})-(\\d{0,18})");

    /** Whether the client marks the request as its own retry. A malformed header counts as a first attempt. */
    boolean isMarkedRetry() {
        String attempt = headers.get(RETRY_HEADER);
        return attempt != null && attempt.length() < MAX_RETRY_HEADER_LENGTH && LATER_ATTEMPT.matcher(attempt).matches();
    }

    /**
     * Parses the head of a request. An invalid range is removed from its headers.
     *
     * @throws S3Error if the request is malformed, too large or not supported
     */
    static ObjectCall parse(HttpRequest request, long largestBody) throws S3Error {
        String uri = request.uri();
        if (!uri.startsWith("/")) {
            throw new S3Error(400, "InvalidURI", "Only paths are served.");
        }
        QueryStringDecoder query = decodeQuery(uri);
        String path = query.path();
        int slash = path.indexOf('/', 1);
        String bucket = path.substring(1, slash < 0 ? path.length() : slash);
        String key = slash < 0 ? "" : path.substring(slash + 1);
        if (bucket.isEmpty() || key.isEmpty()) {
            throw new S3Error(501, "NotImplemented", "Only objects are served, not buckets.");
        }
        if (key.getBytes(StandardCharsets.UTF_8).length > MAX_KEY_BYTES) {
            throw new S3Error(400, "KeyTooLongError", "Your key is too long.");
        }
        String uploadId = singleValue(query.parameters(), "uploadId");
        String part = singleValue(query.parameters(), "partNumber");
        Operation op = parseOperation(request.method(), query.parameters().containsKey("uploads"), uploadId, part);
        return new ObjectCall(op, request.method(), uri, bucket, key, request.headers(),
            parseLength(op, request.headers(), largestBody), parseRangeLength(op, request.headers()), uploadId,
            op == Operation.PART ? parsePartNumber(part) : 0);
    }

    private static QueryStringDecoder decodeQuery(String uri) throws S3Error {
        try {
            QueryStringDecoder query = new QueryStringDecoder(uri, StandardCharsets.UTF_8);
            query.path();
            for (String name : query.parameters().keySet()) {
                if (!SUPPORTED_QUERY_PARAMETERS.contains(name)) {
                    throw new S3Error(501, "NotImplemented", "The query '" + name + "' is not served.");
                }
            }
            return query;
        } catch (IllegalArgumentException e) {
            throw new S3Error(400, "InvalidURI", "The URI cannot be read.");
        }
    }

    private static Operation parseOperation(HttpMethod method, boolean uploads, String uploadId, String part)
        throws S3Error {
        Operation op = switch (method.name()) {
            case "GET" -> uploadId != null ? Operation.LIST_PARTS : uploads || part != null ? null : Operation.GET;
            case "HEAD" -> uploadId == null && !uploads && part == null ? Operation.HEAD : null;
            case "PUT" -> uploadId != null && part != null ? Operation.PART
                : uploadId == null && part == null && !uploads ? Operation.PUT : null;
            case "POST" -> uploads ? Operation.CREATE : uploadId != null && part == null ? Operation.COMPLETE : null;
            case "DELETE" -> uploadId != null ? Operation.ABORT : Operation.DELETE;
            default -> throw new S3Error(405, "MethodNotAllowed", "The method is not allowed.");
        };
        if (op == null) {
            throw new S3Error(501, "NotImplemented", "This operation is not served.");
        }
        return op;
    }

    private static long parseLength(Operation op, HttpHeaders headers, long largest) throws S3Error {
        if (headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            throw new S3Error(op.hasBody() ? 411 : 400, op.hasBody() ? "MissingContentLength" : "InvalidRequest",
                "A body must come with its Content-Length.");
        }
        String value = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        if (value == null && op.hasBody()) {
            throw new S3Error(411, "MissingContentLength", "You must provide the Content-Length header.");
        }
        if (value == null) {
            return 0;
        }
        if (!value.matches("\\d{1,18}")) {
            throw new S3Error(400, "InvalidArgument", "Content-Length is no number.");
        }
        long length = Long.parseLong(value);
        if (length > (op == Operation.COMPLETE ? MAX_DOCUMENT_BYTES : op.hasBody() ? largest : 0)) {
            throw new S3Error(400, "EntityTooLarge", "The body is too large.");
        }
        return length;
    }

    /** A single byte range is forwarded. Several ranges, or other units, are ignored, as HTTP allows. */
    private static long parseRangeLength(Operation op, HttpHeaders headers) {
        String value = headers.get(HttpHeaderNames.RANGE);
        if (op != Operation.GET || value == null) {
            return UNKNOWN_LENGTH;
        }
        Matcher range = RANGE.matcher(value);
        if (!range.matches() || range.group(1).isEmpty() && range.group(2).isEmpty()) {
            headers.remove(HttpHeaderNames.RANGE);
            return UNKNOWN_LENGTH;
        }
        if (range.group(1).isEmpty()) {
            return Long.parseLong(range.group(2));
        }
        long from = Long.parseLong(range.group(1));
        long to = range.group(2).isEmpty() ? -1 : Long.parseLong(range.group(2));
        if (to >= 0 && to < from) {
            headers.remove(HttpHeaderNames.RANGE);
            return UNKNOWN_LENGTH;
        }
        return to < 0 ? UNKNOWN_LENGTH : to - from + 1;
    }

    private static int parsePartNumber(String text) throws S3Error {
        if (text.matches("\\d{1,5}")) {
            int number = Integer.parseInt(text);
            if (number >= 1 && number <= MAX_PART_NUMBER) {
                return number;
            }
        }
        throw new S3Error(400, "InvalidArgument", "Part number must be an integer between 1 and 10000.");
    }

    private static String singleValue(Map<String, List<String>> query, String name) throws S3Error {
        List<String> values = query.get(name);
        if (values == null) {
            return null;
        }
        if (values.size() != 1 || values.get(0).isEmpty() || values.get(0).length() > MAX_KEY_BYTES) {
            throw new S3Error(400, "InvalidArgument", "'" + name + "' must be given once.");
        }
        return values.get(0);
    }

    /** The cell of the object, shared by its uploads. It does not depend on which nodes exist. */
    int cell(int cells) {
        CRC32 sum = new CRC32();
        sum.update((bucket + '/' + key).getBytes(StandardCharsets.UTF_8));
        return (int) (sum.getValue() % cells);
    }

    /** Creates the call that tells whether this part is stored. */
    ObjectCall listThisPart() {
        return listParts("&max-parts=1&part-number-marker=" + (partNumber - 1));
    }

    /** Creates the call that tells whether this upload is still open. */
    ObjectCall listParts() {
        return listParts("&max-parts=1");
    }

    private ObjectCall listParts(String query) {
        String path = uri.substring(0, uri.indexOf('?'));
        String id = URLEncoder.encode(uploadId, StandardCharsets.UTF_8);
        HttpHeaders copied = headers.copy();
        for (String name : List.of("Content-Length", "Content-MD5", "Content-Type", "Expect")) {
            copied.remove(name);
        }
        return new ObjectCall(Operation.LIST_PARTS, HttpMethod.GET, path + "?uploadId=" + id + query, bucket, key, copied, 0,
            UNKNOWN_LENGTH, uploadId, partNumber);
    }
}
