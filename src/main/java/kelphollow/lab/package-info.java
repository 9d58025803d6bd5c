/**
 * The rig that breaks a fleet: it starts real processes of the program, fake storage nodes, a fake control plane,
 * clients and relays, injects the faults of a scenario, and judges the history that is left. It knows the program from
 * outside only; the checks know the history only.
 */
package kelphollow.lab;
