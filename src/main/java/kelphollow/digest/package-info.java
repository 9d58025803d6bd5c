/**
 * The replicated state of the fleet: what each instance publishes about nodes, merged into one view on every instance as a
 * state-based CRDT whose entries are renewed by their owner's membership. No I/O and no threads; the clock is passed in.
 */
package kelphollow.digest;
