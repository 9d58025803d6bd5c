package kelphollow.protocol.object;

/** The content of a part: its size in bytes and its MD5 in hexadecimal, which is its entity tag in S3. */
record PartContent(long size, String md5) {}
