/**
 * The object API over HTTP on both sides: {@link kelphollow.protocol.object.ObjectFront} accepts clients' connections and
 * {@link kelphollow.protocol.object.ObjectBackend} sends attempts to object servers. Parts and completions of multipart
 * uploads are forwarded only when they cannot have run yet, since no server filters out their duplicates. All of it runs on
 * the scheduler's event loop.
 */
package kelphollow.protocol.object;
