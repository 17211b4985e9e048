package io.hornbeamscale.external;

/** The reply to a watch of the store. */
public sealed interface WatchReply {
    /**
     * The key has a newer revision.
     *
     * @param key the key
     * @param revision the revision
     * @param value the value
     */
    record Changed(String key, long revision, String value) implements WatchReply {}

    /**
     * The key did not change within the requested time.
     *
     * @param key the key
     */
    record Unchanged(String key) implements WatchReply {}

    /**
     * The store did not respond before the call timed out.
     *
     * @param key the key
     */
    record NoAnswer(String key) implements WatchReply {}
}
