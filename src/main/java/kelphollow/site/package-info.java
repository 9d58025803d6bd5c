/**
 * Decisions between sites: which site answers what, whether a link may take new work and how much, what time is left
 * for a request on its way, whether one more attempt elsewhere is worth its cost, and what became of an unsafe request
 * whose link broke. No I/O, no threads; clock and randomness are passed in. Times are {@code double} milliseconds on
 * the caller's own clock, which no other site shares. {@code docs/design/SITES.md} weighs the options.
 */
package kelphollow.site;
