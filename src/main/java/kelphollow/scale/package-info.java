/**
 * The scale run: many simulated instances of the control plane in one process, without clients and data path, beside real
 * processes of the program, on sockets or on a simulated clock. It measures what size costs and how long state takes to
 * spread, and injects faults. Decides nothing of the fleet: the instances run the production classes.
 */
package kelphollow.scale;
