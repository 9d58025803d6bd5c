/**
 * State that a gateway keeps across restarts, as records in the tables of {@link kelphollow.store}. {@link
 * kelphollow.ledger.Ledger} is opened once per run of the gateway; one class per kind of record writes and reads it. {@code
 * StoredNames} holds every name that is on disk. Makes no decisions: {@link kelphollow.recovery} determines what the records
 * of an earlier run prove.
 */
package kelphollow.ledger;
