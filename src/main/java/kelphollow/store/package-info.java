/**
 * An embedded key-value store modelled on Bitcask: an append-only log kept in two copies. The entry point is
 * {@link kelphollow.store.Store}.
 * <ul>
 * <li>Writing: {@link kelphollow.store.Batch}, {@code WriteQueue}, {@code Writer}, {@code CommitLog}
 * <li>Reading: {@code SegmentSet}, {@code Index}, {@link kelphollow.store.Snapshot}
 * <li>Background work: {@code Compactor}, {@code Scrubber}
 * <li>Recovery: {@code StoreOpener}, {@code ManifestRecovery}, {@code SegmentRecovery}, {@code IndexLoader}
 * <li>File formats: {@code Format}, {@code Operation}, {@code Manifest}, {@code SegmentHint}
 * </ul>
 * The package depends on no other package of the project. {@code docs/design/STORE.md} describes the file formats and the
 * design decisions.
 */
package kelphollow.store;
