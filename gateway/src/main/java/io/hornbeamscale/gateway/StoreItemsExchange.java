package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.ItemsRequestController;
import io.hornbeamscale.core.store.StoreRevision;
import io.hornbeamscale.wire.message.StoreItemsMessage;
import io.hornbeamscale.wire.message.StoreItemsRequestMessage;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Passes items of the store on to other entries, and requests those that this entry lacks. Methods run on the control
 * thread.
 */
final class StoreItemsExchange {
    /**
     * How long this entry waits for the store to deliver a revision that another entry already knows, in milliseconds;
     * after that it requests the items from that entry.
     */
    private static final long STORE_LAG_MILLIS = 100;

    /**
     * The maximum size of the values that are passed on to every other entry, in bytes. A large document would fill the
     * links of small VMs, which carry 7 Mbit/s.
     */
    private static final long MAX_PASSED_ON_BYTES = 16 * 1024;

    /** How many small items of a large batch are passed on; each has at most this share of the maximum size. */
    private static final int MAX_SMALL_ITEMS = 16;

    private final PeerConnections peers;
    private final StoreFollower follower;
    private final BiConsumer<Long, Runnable> executeLater;
    private final ItemsRequestController requests = new ItemsRequestController();
    private boolean isLagChecked;

    /**
     * Creates an exchange.
     *
     * @param executeLater runs a task on the control thread after a number of milliseconds
     */
    StoreItemsExchange(PeerConnections peers, StoreFollower follower, BiConsumer<Long, Runnable> executeLater) {
        this.peers = peers;
        this.follower = follower;
        this.executeLater = executeLater;
    }

    /**
     * Passes on changes that the store's watch delivered.
     *
     * @param afterRevision the revision after which the batch contains all changes not passed on before
     * @return whether all of them were passed on; if not, those that are large were left out
     */
    boolean passOn(StoreRevision afterRevision, StoreFollower.ChangeBatch batch, long nowMillis) {
        if (batch.valueBytes() <= MAX_PASSED_ON_BYTES) {
            peers.broadcast(StoreItemsCodec.encode(afterRevision, batch), nowMillis);
            return true;
        }
        // What is small in a large batch, such as a server that leaves, does not complete any revision.
        List<StoreItem> small = batch.itemsUpTo(MAX_PASSED_ON_BYTES / MAX_SMALL_ITEMS);
        if (!small.isEmpty() && small.size() <= MAX_SMALL_ITEMS) {
            StoreFollower.ChangeBatch partial = new StoreFollower.ChangeBatch(afterRevision, small);
            peers.broadcast(StoreItemsCodec.encode(afterRevision, partial), nowMillis);
        }
        return false;
    }

    /** Requests the items up to a revision that another entry knows, if the store does not deliver them soon. */
    void revisionSeen(String node, StoreRevision revision) {
        if (isLagChecked || !revision.isAfter(follower.knownRevision())) {
            return;
        }
        isLagChecked = true;
        executeLater.accept(STORE_LAG_MILLIS, () -> {
            isLagChecked = false;
            StoreRevision known = follower.knownRevision();
            if (revision.isAfter(known) && !follower.catchUp()) {
                request(node, known, ControlLoop.now());
            }
        });
    }

    private void request(String node, StoreRevision after, long nowMillis) {
        boolean isDue = requests.request(node, after, nowMillis);
        if (isDue && !peers.send(node, new StoreItemsRequestMessage(after.era(), after.revision()), nowMillis)) {
            requests.notSent();
        }
    }

    /** Returns the items that another entry requests. */
    StoreItemsMessage itemsRequested(StoreItemsRequestMessage request) {
        StoreRevision after = new StoreRevision(request.era(), request.afterRevision());
        return StoreItemsCodec.encode(after, follower.changesAfter(after));
    }

    /** Handles items sent by another entry. */
    void itemsReceived(StoreItemsMessage items, long nowMillis) {
        requests.received(StoreItemsCodec.afterRevision(items));
        follower.applyFromPeer(
                StoreItemsCodec.items(items),
                StoreItemsCodec.afterRevision(items),
                StoreItemsCodec.revision(items),
                nowMillis);
    }
}
