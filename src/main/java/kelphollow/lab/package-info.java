/**
 * The rig that breaks a fleet: it starts real processes of the program, stand-in storage nodes, a stand-in control plane,
 * clients and relays, injects the faults of a scenario, and judges the history that is left. It knows the program from
 * outside only; the checker knows the history only.
 */
package kelphollow.lab;
