/**
 * A randomized fault soak of the platform's protocol: real processes of the program under faults that overlap in time, drawn
 * by seed, with fake clients, storage nodes and discovery. The run leaves one history; the checker knows the history
 * only and judges it by the platform's rules.
 */
package kelphollow.lab.soak;
