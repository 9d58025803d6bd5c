/**
 * What a gateway keeps beyond its end, as records in the tables of {@link kelphollow.store}. {@link
 * kelphollow.ledger.Ledger} is opened once per incarnation; a class per subject writes and reads its records. {@code
 * StoredNames} has every name that is on disk. Nothing is decided here: {@link kelphollow.recovery} says what records of an
 * earlier incarnation are worth.
 */
package kelphollow.ledger;
