/**
 * What is believed after a start of the records that an earlier process has left: outcomes of work, volumes' limits,
 * and the cached endpoint list. Decisions only, without I/O or a clock.
 */
package kelphollow.recovery;
