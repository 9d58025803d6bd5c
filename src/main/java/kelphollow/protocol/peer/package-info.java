/**
 * The protocol between instances: datagrams for small messages, TCP for full exchanges, both encoded as CBOR. Each packet
 * is authenticated by HMAC-SHA256 together with its sender's name, epoch and a counter against replay. Packets that cannot
 * be authenticated are dropped and counted. The package only transports packets; it makes no decisions about the fleet.
 */
package kelphollow.protocol.peer;
