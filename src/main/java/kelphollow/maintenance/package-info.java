/**
 * Maintenance of storage nodes by the operators: the set of nodes and the text form that the next process reads. No I/O.
 */
package kelphollow.maintenance;
