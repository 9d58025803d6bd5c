/**
 * Maintenance of storage nodes by the operators: which nodes are in it, and the text that the next process reads. No
 * I/O.
 */
package kelphollow.maintenance;
