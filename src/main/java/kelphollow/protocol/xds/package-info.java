/**
 * Envoy's xDS over REST: parses clusters and endpoints in proto3 JSON into an endpoint list, and polls to keep it
 * up to date.
 */
package kelphollow.protocol.xds;
