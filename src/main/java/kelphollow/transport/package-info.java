/**
 * Sockets of the data path on one event loop: listening for clients, pooled connections to nodes, calls to control-plane
 * services, the orderly close of client connections, and the clock. Independent of requests and of any application
 * protocol except HTTP's framing.
 */
package kelphollow.transport;
