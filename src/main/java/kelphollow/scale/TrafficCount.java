package kelphollow.scale;

import kelphollow.protocol.peer.Traffic;

/** Packets and bytes by kind, out and in, as counters at one moment or their growth over a span. Confined to one thread. */
final class TrafficCount {
    /** Bytes of the IPv4 and UDP headers of a datagram. */
    static final int DATAGRAM_HEADERS = 28;
    /** TCP segments that each side of an exchange sends: handshake, challenge, messages, acknowledgements and close. */
    private static final int EXCHANGE_SEGMENTS = 5;
    /** Bytes of the IPv4 and TCP headers of a segment. */
    private static final int SEGMENT_HEADERS = 40;
    private static final int SEGMENT_BYTES = 1_448;
    private static final int PACKETS_OUT = 0;
    private static final int BYTES_OUT = 1;
    private static final int PACKETS_IN = 2;
    private static final int BYTES_IN = 3;
    private static final int FIGURES = 4;

    private final long[][] figures = new long[Traffic.Kind.values().length][FIGURES];

    void set(Traffic.Kind kind, long... packetsOutBytesOutPacketsInBytesIn) {
        figures[kind.ordinal()] = packetsOutBytesOutPacketsInBytesIn;
    }

    /** Returns the growth since an earlier count in the same run of the instance. */
    TrafficCount since(TrafficCount earlier) {
        TrafficCount difference = new TrafficCount();
        for (int k = 0; k < figures.length; k++) {
            for (int f = 0; f < FIGURES; f++) {
                difference.figures[k][f] = figures[k][f] - earlier.figures[k][f];
            }
        }
        return difference;
    }

    void add(TrafficCount more) {
        for (int k = 0; k < figures.length; k++) {
            for (int f = 0; f < FIGURES; f++) {
                figures[k][f] += more.figures[k][f];
            }
        }
    }

    long packetsOut(Traffic.Kind kind) {
        return figures[kind.ordinal()][PACKETS_OUT];
    }

    long packetsIn(Traffic.Kind kind) {
        return figures[kind.ordinal()][PACKETS_IN];
    }

    /** Returns the bytes sent, with headers. */
    long wireOut(Traffic.Kind kind) {
        return wire(kind, figures[kind.ordinal()][PACKETS_OUT], figures[kind.ordinal()][BYTES_OUT]);
    }

    /** Returns the bytes received, with headers. */
    long wireIn(Traffic.Kind kind) {
        return wire(kind, figures[kind.ordinal()][PACKETS_IN], figures[kind.ordinal()][BYTES_IN]);
    }

    private static long wire(Traffic.Kind kind, long packets, long bytes) {
        return kind == Traffic.Kind.EXCHANGE
            ? bytes + packets * EXCHANGE_SEGMENTS * SEGMENT_HEADERS + bytes / SEGMENT_BYTES * SEGMENT_HEADERS
            : bytes + packets * DATAGRAM_HEADERS;
    }

    /** Returns the bytes of datagrams sent, with headers. */
    long datagramBytesOut() {
        return wireOut() - wireOut(Traffic.Kind.EXCHANGE);
    }

    /** Returns the mean bytes sent per full exchange, with headers; 0 if there were none. */
    double bytesPerExchange() {
        return wireOut(Traffic.Kind.EXCHANGE) / (double) Math.max(1, exchangesOut());
    }

    long exchangesOut() {
        return packetsOut(Traffic.Kind.EXCHANGE);
    }

    long datagramsOut() {
        long sum = 0;
        for (Traffic.Kind kind : Traffic.Kind.values()) {
            sum += kind == Traffic.Kind.EXCHANGE ? 0 : packetsOut(kind);
        }
        return sum;
    }

    long wireOut() {
        long sum = 0;
        for (Traffic.Kind kind : Traffic.Kind.values()) {
            sum += wireOut(kind);
        }
        return sum;
    }

    long wireIn() {
        long sum = 0;
        for (Traffic.Kind kind : Traffic.Kind.values()) {
            sum += wireIn(kind);
        }
        return sum;
    }
}
