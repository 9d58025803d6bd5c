package kelphollow.ledger;

/**
 * Names of tables, keys and record fields in the ledger's part of the store. They are part of the stored format and shown by
 * {@code store dump}, so older names must not change; code refers to them only through these constants.
 */
final class StoredNames {
    /** Table of the gateway's runs, with the keys {@link #EPOCH_KEY} and {@link #LOST_KEY}. */
    static final String INCARNATIONS = "life";
    static final String EPOCH_KEY = "epoch";
    static final String LOST_KEY = "lost";
    /** Table of uploads that were created through this gateway, by upload. */
    static final String UPLOADS = "uploads";
    /** Table of parts, by {@code UPLOAD#NUMBER}. */
    static final String PARTS = "parts";
    /** Table of completions of uploads, by upload. */
    static final String COMPLETIONS = "completions";
    /** Table of limits, by volume. */
    static final String LIMITS = "limits";
    /** Table of the endpoint list, with the key {@link #ENDPOINT_LIST_KEY}. */
    static final String ENDPOINTS = "nodes";
    static final String ENDPOINT_LIST_KEY = "list";
    /** Table of unsafe requests between sites, by identity. */
    static final String OUTCOMES = "ingests";

    /** The epoch in which a record was written. */
    static final String EPOCH = "epoch";
    /** When a record was written, Unix milliseconds. */
    static final String AT = "at";
    /** The number of the last epoch. */
    static final String LAST_EPOCH = "n";
    /** Fields of a part: its size in bytes, digest and entity tag. */
    static final String SIZE = "size";
    static final String MD5 = "md5";
    static final String ETAG = "etag";
    /** Fields of a completion: the digest of its list of parts, and the response. */
    static final String PART_LIST_DIGEST = "print";
    static final String STATUS = "status";
    static final String CONTENT_TYPE = "type";
    static final String BODY = "body";
    /** Fields of a limit: the epoch at whose end it was written, and its tokens. */
    static final String END_OF_EPOCH = "endOf";
    static final String TOKENS = "level";
    /** Field of an unsafe request that ran: its outcome. */
    static final String OUTCOME = "outcome";
    /** Fields of the endpoint list: its entries, and the fields of each entry. */
    static final String ENTRIES = "members";
    static final String NODE = "node";
    static final String ZONE = "zone";
    static final String CELL = "cell";
    static final String STATE = "phase";
    static final String STARTED_AT = "born";
    static final String HOST = "host";
    static final String PORT = "port";

    private StoredNames() {}
}
