package io.hornbeamscale.core.distribute;

/** A message about document versions between two nodes. */
public sealed interface ConfigMessage {
    /**
     * Tells which version the sender holds.
     *
     * @param version the version, 0 for none
     * @param revision the revision of the store's key for this version
     * @param isStarting whether the sender has just started and asks for the receiver's digest
     */
    record Digest(long version, long revision, boolean isStarting) implements ConfigMessage {}

    /**
     * Asks for a newer version.
     *
     * @param haveVersion the version that the sender holds, 0 to receive the whole document
     */
    record Want(long haveVersion) implements ConfigMessage {}

    /**
     * Carries a difference.
     *
     * @param delta the difference
     */
    record Delta(ConfigDelta delta) implements ConfigMessage {}

    /**
     * Carries a whole document.
     *
     * @param snapshot the document
     */
    record Whole(ConfigSnapshot snapshot) implements ConfigMessage {}
}
