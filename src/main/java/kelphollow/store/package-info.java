/**
 * An embedded key-value store on an append-only log in two copies, after Bitcask. {@link kelphollow.store.Store} is what
 * callers use. Writing: {@link kelphollow.store.Batch}, {@code WriteQueue}, {@code Writer}, {@code CommitLog}. Reading:
 * {@code SegmentSet}, {@code Index}, {@link kelphollow.store.Snapshot}. Background: {@code Compactor}, {@code Scrubber}.
 * Recovery: {@code StoreOpener}, {@code ManifestRecovery}, {@code SegmentRecovery}, {@code IndexLoader}. Formats: {@code
 * Format}, {@code Operation}, {@code Manifest}, {@code SegmentHint}. It knows no other package; {@code docs/design/STORE.md}
 * has the formats and the reasons.
 */
package kelphollow.store;
