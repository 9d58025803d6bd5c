/**
 * One instance's participation in the fleet: connects membership, digest, dissemination and overload decisions to the
 * transport between instances, the routing of requests and the operators' interface. Makes no decisions itself.
 */
package kelphollow.fleet;
