package kelphollow.protocol.object;

/** The content of a part: its size in bytes and its MD5 in hexadecimal, which S3 gives as its entity tag. */
record PartContent(long size, String md5) {}
