/** Reload of request classes and attempts while requests are open. Decisions only, without I/O or a clock. */
package kelphollow.retune;
