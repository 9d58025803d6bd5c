/**
 * Sockets of the data path on one event loop: listening for clients, pooled connections to nodes, calls to control-plane
 * services, the orderly close of client connections, and the clock. Knows no request and no application protocol but
 * HTTP's framing.
 */
package kelphollow.transport;
