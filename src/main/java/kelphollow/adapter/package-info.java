/**
 * Adapter between the simulator and the decision module. Reads batches of events and writes the module's actions, each as
 * one line of JSON. {@link kelphollow.adapter.WireNames} maps the names of the wire format to the module's terms. The
 * package makes no decisions.
 */
package kelphollow.adapter;
