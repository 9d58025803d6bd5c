/**
 * Reload of request classes and of the maximum number of attempts while requests are open. Decisions only, without I/O or a
 * clock.
 */
package kelphollow.retune;
