package kelphollow.protocol.resp;

/**
 * What the front passes to the backend with a request.
 *
 * @param command the command to forward to a node
 * @param receiver receives a value that is too long to be buffered
 * @param registration registers the command's id when it is forwarded
 */
record RespRequest(RespCommand command, StreamedValue.Receiver receiver, RequestRegistration registration) {}
