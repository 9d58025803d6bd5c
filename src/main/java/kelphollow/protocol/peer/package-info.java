/**
 * The line between instances, as thin as can be: datagrams for small messages, TCP for a full exchange, CBOR, and a keyed
 * digest (HMAC-SHA256) over all with name, epoch and a counter against replay. What does not prove itself is dropped and
 * counted. Decides nothing.
 */
package kelphollow.protocol.peer;
