/**
 * Decisions between sites: which site serves what ({@link kelphollow.site.Routes}), whether a link may take new requests
 * and how many ({@link kelphollow.site.LinkHealth}, {@link kelphollow.site.LinkWindow}), what remains of a request's time
 * ({@link kelphollow.site.RemainingTime}), whether a retry elsewhere is worth its cost ({@link
 * kelphollow.site.SiteRetryBudget}), and what became of an unsafe request whose link broke ({@link
 * kelphollow.site.ForwardedRequest}, {@link kelphollow.site.DuplicateFilter}). No I/O, no threads; clock and randomness are
 * passed in. Times are {@code double} milliseconds on the caller's own clock, which no other site shares. {@code
 * docs/design/SITES.md} weighs the options.
 */
package kelphollow.site;
