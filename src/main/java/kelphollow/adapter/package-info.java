/**
 * The simulator's wire: one line of JSON with events in, one line with the decision module's actions out. Its words are
 * mapped to the module's terms in {@link kelphollow.adapter.WireNames}; nothing is decided here.
 */
package kelphollow.adapter;
