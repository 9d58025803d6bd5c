package kelphollow.decision;

import java.util.ArrayDeque;

/** Requests of one key in an ordered class: who is next, and until when the key rests. */
final class KeyOrder {
    final ArrayDeque<Request> waiting = new ArrayDeque<>();
    int inFlight;
    double restUntil;
}
