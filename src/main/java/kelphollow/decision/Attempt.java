package kelphollow.decision;

/** What {@link Control} keeps of an attempt that is out; plain data. */
final class Attempt {
    Request request;
    Control.Node node;
    double sentAt, heardAt;
    boolean wide;
}
