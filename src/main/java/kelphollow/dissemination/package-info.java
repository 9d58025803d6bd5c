/**
 * Carries changes of the digest to all instances within a budget of bytes: rumour mongering with a bounded number of
 * transmissions (Demers and others: "Epidemic algorithms for replicated database maintenance", PODC 1987) for changes, and
 * anti-entropy by summaries and deltas (van Renesse and others: "Efficient reconciliation and flow control for anti-entropy
 * protocols", LADIS 2008) for what gossip missed. No I/O and no threads; clock and random source are passed in.
 */
package kelphollow.dissemination;
