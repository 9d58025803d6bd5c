/**
 * The protocol between instances: datagrams for small messages, TCP for full exchanges, CBOR, and a keyed digest
 * (HMAC-SHA256) over all with name, epoch and a counter against replay. What cannot be authenticated is dropped and counted.
 * Decides nothing.
 */
package kelphollow.protocol.peer;
