package kelphollow.protocol.resp;

/**
 * A request as its front and its backend share it.
 *
 * @param command what goes to a node
 * @param receiver takes a value that is too long to be buffered
 */
record RespCall(RespCommand command, StreamedValue.Receiver receiver) {}
