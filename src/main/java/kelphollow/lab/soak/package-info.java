/**
 * Randomized soak test of the platform's protocol: real processes of the program under overlapping faults drawn from a seed,
 * with fake clients, storage nodes and discovery. A run records one history, which is all that the checker uses to check the
 * platform's rules.
 */
package kelphollow.lab.soak;
