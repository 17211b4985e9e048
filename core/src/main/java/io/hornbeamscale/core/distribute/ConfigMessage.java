package io.hornbeamscale.core.distribute;

/** A message about document versions between two nodes. */
public sealed interface ConfigMessage {
    /**
     * Tells which version the sender holds.
     *
     * @param version the version, 0 for none
     * @param revision the revision of the store's key for this version
     * @param isReplicated whether enough holders of the sender's region have the version
     * @param isStarted whether the sender has finished its start
     * @param wantsReply whether the sender asks for the receiver's digest
     */
    record Digest(long version, long revision, boolean isReplicated, boolean isStarted, boolean wantsReply)
            implements ConfigMessage {}

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
     * @param isReplicated whether enough holders of the sender's region have the resulting version
     */
    record Delta(ConfigSnapshotDelta delta, boolean isReplicated) implements ConfigMessage {}

    /**
     * Carries a whole document.
     *
     * @param snapshot the document
     * @param isReplicated whether enough holders of the sender's region have this version
     */
    record Whole(ConfigSnapshot snapshot, boolean isReplicated) implements ConfigMessage {}
}
