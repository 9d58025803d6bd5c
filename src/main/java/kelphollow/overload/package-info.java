/**
 * Decisions that the fleet must take together when nodes fail or are overloaded, so that what is harmless from one
 * instance does no harm from all: which instance health-checks an unresponsive node, and which requests are shed at an
 * overloaded one. No I/O and no threads; the clock is passed in.
 */
package kelphollow.overload;
