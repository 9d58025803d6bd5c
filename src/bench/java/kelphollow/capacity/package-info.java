/**
 * Measurements for docs/CAPACITY.md: each main class measures one cost at several sizes, fits a line by least squares and
 * prints both as Markdown. Costs are processor time and live memory, not wall time, because other load on the machine
 * affects them little.
 */
package kelphollow.capacity;
