/**
 * Scale tests of the control plane: many simulated instances in one process, without clients or data path, on a simulated
 * clock or on sockets beside real processes of the program. They inject faults and measure the cost of fleet size and how
 * long state takes to spread. The instances run the production classes; this package makes no fleet decisions.
 */
package kelphollow.scale;
