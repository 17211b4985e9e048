package io.hornbeamscale.core.distribute;

/** A message between two nodes about versions of the document. */
public sealed interface ConfigMessage {
    /**
     * States which version the sender holds.
     *
     * @param version the version, 0 for none
     * @param revision the revision of the document's key in the store for this version
     * @param isReplicated whether enough replicas of the sender's region hold the version
     * @param isStarted whether the sender has finished its startup
     * @param wantsReply whether the sender asks for the receiver's digest
     */
    record Digest(long version, long revision, boolean isReplicated, boolean isStarted, boolean wantsReply)
            implements ConfigMessage {}

    /**
     * Asks for a newer version.
     *
     * @param haveVersion the version that the sender holds, 0 to request the whole document
     */
    record Want(long haveVersion) implements ConfigMessage {}

    /**
     * Carries a difference.
     *
     * @param delta the difference
     * @param isReplicated whether enough replicas of the sender's region hold the resulting version
     */
    record Delta(ConfigSnapshotDelta delta, boolean isReplicated) implements ConfigMessage {}

    /**
     * Carries a whole document.
     *
     * @param snapshot the document
     * @param isReplicated whether enough replicas of the sender's region hold this version
     */
    record Whole(ConfigSnapshot snapshot, boolean isReplicated) implements ConfigMessage {}
}
