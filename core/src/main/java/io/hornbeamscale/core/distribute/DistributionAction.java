package io.hornbeamscale.core.distribute;

import io.hornbeamscale.core.id.NodeId;

/** An action that a {@link ConfigDistributor} or {@link VersionFollower} asks its caller to carry out. */
public sealed interface DistributionAction {
    /**
     * Sends a message to a peer. The message may get lost.
     *
     * @param peer the peer
     * @param message the message
     */
    record Send(NodeId peer, ConfigMessage message) implements DistributionAction {}

    /**
     * Applies a version on this node.
     *
     * @param snapshot the document
     */
    record Apply(ConfigSnapshot snapshot) implements DistributionAction {}

    /**
     * Asks the store for the current revision of the document's key with a compare-and-swap that cannot succeed, since
     * it expects the revision {@link Long#MAX_VALUE}. Unlike a read, the resulting conflict never reports an outdated
     * state. The revision is passed to {@link ConfigDistributor#storeRevisionRead}.
     */
    record CheckRevision() implements DistributionAction {}

    /** Reads the document from the store. The document is passed to {@link ConfigDistributor#storeValueRead}. */
    record ReadStore() implements DistributionAction {}

    /**
     * Watches the document's key in the store. The result is passed to {@link ConfigDistributor#storeValueRead} or
     * {@link ConfigDistributor#storeUnchanged}.
     *
     * @param afterRevision the last known revision; the watch ends with a later one
     * @param waitMillis how long to wait for a change, in milliseconds
     */
    record WatchStore(long afterRevision, long waitMillis) implements DistributionAction {}
}
