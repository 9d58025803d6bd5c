/**
 * Envoy's xDS by REST: clusters and endpoints in proto3 JSON, read into an endpoint list, and the polls that keep it
 * up to date.
 */
package kelphollow.protocol.xds;
