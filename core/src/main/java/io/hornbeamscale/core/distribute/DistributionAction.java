package io.hornbeamscale.core.distribute;

import io.hornbeamscale.core.id.NodeId;

/** What a distributor asks its caller to do. */
public sealed interface DistributionAction {
    /**
     * Sends a message to a peer. It may get lost.
     *
     * @param peer the peer
     * @param message the message
     */
    record Send(NodeId peer, ConfigMessage message) implements DistributionAction {}

    /**
     * Puts a version in force on this node.
     *
     * @param snapshot the document
     */
    record Apply(ConfigSnapshot snapshot) implements DistributionAction {}

    /**
     * Asks the store for the present revision of the document's key by a compare-and-swap that cannot succeed: it
     * expects the revision {@link Long#MAX_VALUE}. Unlike a read, its conflict is never an older state. The reply goes
     * to {@link ConfigDistributor#storeRevisionRead}.
     */
    record CheckRevision() implements DistributionAction {}

    /** Reads the document from the store. The reply goes to {@link ConfigDistributor#storeValueRead}. */
    record ReadStore() implements DistributionAction {}

    /**
     * Watches the document's key. The reply goes to {@link ConfigDistributor#storeValueRead} or
     * {@link ConfigDistributor#storeUnchanged}.
     *
     * @param afterRevision the revision that is known
     * @param waitMillis how long to wait, in milliseconds
     */
    record WatchStore(long afterRevision, long waitMillis) implements DistributionAction {}
}
