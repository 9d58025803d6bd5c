/**
 * Decisions about forwarding requests between sites: which site serves a request ({@link kelphollow.site.Routes}), whether a
 * link accepts new requests and how many ({@link kelphollow.site.LinkHealth}, {@link kelphollow.site.LinkWindow}), how much
 * of a request's time remains ({@link kelphollow.site.RemainingTime}), whether it may be retried at another site ({@link
 * kelphollow.site.SiteRetryBudget}), and the outcome of an unsafe request whose link broke ({@link
 * kelphollow.site.ForwardedRequest}, {@link kelphollow.site.DuplicateFilter}). No I/O and no threads; clock and randomness
 * are passed in. Times are {@code double} milliseconds on the caller's own clock, which sites do not share. {@code
 * docs/design/SITES.md} compares the design options.
 */
package kelphollow.site;
