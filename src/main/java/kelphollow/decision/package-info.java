/**
 * All decisions about requests: which request is sent next and to which node, which requests are retried,
 * rejected or shed, and how limits, reserves and node health restrict this.
 *
 * <p>{@link kelphollow.decision.Control} takes a {@link kelphollow.decision.ControlEvent} and returns
 * {@link kelphollow.decision.ControlAction}s; it is configured by
 * {@link kelphollow.decision.ControlSettings}. The package does no I/O, starts no thread and
 * reads no clock, and everything in it is confined to the one thread that drives a {@code Control}. Times are
 * milliseconds, work is in units.
 */
package kelphollow.decision;
