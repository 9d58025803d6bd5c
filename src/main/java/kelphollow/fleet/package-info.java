/**
 * One instance's participation in the fleet: wires membership, digest, dissemination and overload decisions to the transport
 * between instances, to the routing of requests and to the operators. Decides nothing itself.
 */
package kelphollow.fleet;
