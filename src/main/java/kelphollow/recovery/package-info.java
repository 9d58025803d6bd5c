/**
 * Recovery after a start from the records of an earlier process: outcomes of operations, volumes' limits, and the cached
 * endpoint list. Decisions only, without I/O or a clock.
 */
package kelphollow.recovery;
