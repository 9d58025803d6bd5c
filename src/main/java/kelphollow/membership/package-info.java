/**
 * Fleet membership and failure detection: SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
 * Process Group Membership Protocol", DSN 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey: "Lifeguard: Local
 * Health Awareness for More Accurate Failure Detection", DSN-W 2018). No I/O and no threads: clock and random source are
 * passed in, messages and timer ticks come in, messages and events go out. Members are known by name; the transport resolves
 * addresses.
 */
package kelphollow.membership;
