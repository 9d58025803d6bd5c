/**
 * Fault-injection tests of a fleet: starts real processes of the program, fake storage nodes, a fake control plane, clients
 * and relays, injects the faults of a scenario, and checks the recorded history. It uses only the program's external
 * interfaces; the checks use only the history.
 */
package kelphollow.lab;
