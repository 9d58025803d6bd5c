/** Wires membership and digest to the line between instances, to the core and to the operators. Decides nothing. */
package kelphollow.fleet;
