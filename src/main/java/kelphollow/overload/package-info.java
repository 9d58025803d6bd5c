/**
 * Decisions that the fleet coordinates when nodes fail or are overloaded, since behavior that is harmless from one instance
 * can harm a node when all instances do it: which instance health-checks an unresponsive node, and which requests are shed
 * at an overloaded one. No I/O and no threads; the clock is passed in.
 */
package kelphollow.overload;
