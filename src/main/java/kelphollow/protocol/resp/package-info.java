/**
 * The platform's RESP2 protocol on both sides: {@link kelphollow.protocol.resp.RespFront} accepts clients' connections and
 * {@link kelphollow.protocol.resp.RespBackend} carries attempts to storage nodes. All of it runs on the scheduler's event
 * loop.
 */
package kelphollow.protocol.resp;
