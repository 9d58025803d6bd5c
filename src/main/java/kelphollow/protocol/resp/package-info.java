/**
 * The platform's RESP2 wire on both sides: {@link kelphollow.protocol.resp.RespFront} takes clients' connections and
 * {@link kelphollow.protocol.resp.RespBackend} carries attempts to storage nodes. Codec, connection state and the mapping of
 * commands to requests are files of their own. All of it runs on the scheduler's event loop.
 */
package kelphollow.protocol.resp;
