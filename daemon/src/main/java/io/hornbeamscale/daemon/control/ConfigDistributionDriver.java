package io.hornbeamscale.daemon.control;

import io.hornbeamscale.core.audit.PublishedHead;
import io.hornbeamscale.core.distribute.ConfigDistributor;
import io.hornbeamscale.core.distribute.ConfigMessage;
import io.hornbeamscale.core.distribute.ConfigPeer;
import io.hornbeamscale.core.distribute.ConfigSnapshot;
import io.hornbeamscale.core.distribute.DistributionAction;
import io.hornbeamscale.core.document.VersionedDocument;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.external.KeyValueStore;
import io.hornbeamscale.external.WatchReply;
import io.hornbeamscale.wire.message.Message;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Drives the distributor of document versions: passes messages and replies of the store to it and carries out its
 * actions. Used on the control thread.
 */
final class ConfigDistributionDriver {
    private static final Logger LOG = LogManager.getLogger("config");

    /** A compare-and-swap that expects this revision always fails with a conflict that has the current revision. */
    private static final long IMPOSSIBLE_REVISION = Long.MAX_VALUE;

    private final ConfigDistributor distributor;
    private final KeyValueStore store;
    private final Executor control;
    private final LongSupplier clock;
    private final BiConsumer<NodeId, Message> sender;
    private final Consumer<VersionedDocument> apply;
    private long newestKnown;
    private String storeProblem = "";

    ConfigDistributionDriver(
            ConfigDistributor distributor,
            KeyValueStore store,
            Executor control,
            LongSupplier clock,
            BiConsumer<NodeId, Message> sender,
            Consumer<VersionedDocument> apply) {
        this.distributor = distributor;
        this.store = store;
        this.control = control;
        this.clock = clock;
        this.sender = sender;
        this.apply = apply;
    }

    void tick(long nowMillis) {
        carryOut(distributor.tick(nowMillis));
    }

    /** Replaces the list of live peers. No version is applied before the first call. */
    void updatePeers(Collection<ConfigPeer> live) {
        distributor.updatePeers(live);
    }

    /** Handles a message; messages that are not about document versions are ignored. */
    void received(NodeId from, Message message) {
        ConfigMessage configMessage = ConfigMessages.read(message);
        if (configMessage == null) {
            return;
        }
        if (configMessage instanceof ConfigMessage.Digest digest) {
            newestKnown = Math.max(newestKnown, digest.version());
        }
        carryOut(distributor.received(from, configMessage, clock.getAsLong()));
    }

    long version() {
        return distributor.versionInForce();
    }

    /** Returns the highest version that this node knows of, which may not have arrived yet. */
    long newestKnown() {
        return Math.max(newestKnown, version());
    }

    boolean isWatcher() {
        return distributor.isWatcher();
    }

    /** Returns why the node may lag behind the store, empty if no problem is known. */
    String problem() {
        String reason = storeProblem;
        if (!distributor.isStarted()) {
            reason = storeProblem.isEmpty() ? "the node is starting" : "the node is starting; " + storeProblem;
        } else if (newestKnown() > version()) {
            reason = "version " + newestKnown() + " has not arrived";
        }
        return reason;
    }

    private void carryOut(List<DistributionAction> actions) {
        for (DistributionAction action : actions) {
            if (action instanceof DistributionAction.Send a) {
                send(a);
            } else if (action instanceof DistributionAction.Apply a) {
                apply(a.snapshot());
            } else {
                callStore(action);
            }
        }
    }

    private void send(DistributionAction.Send action) {
        try {
            sender.accept(action.peer(), ConfigMessages.of(action.message()));
        } catch (ServingException e) {
            LOG.error("The document cannot be sent to {}: {}.", action.peer(), e.getMessage());
        }
    }

    private void apply(ConfigSnapshot snapshot) {
        try {
            apply.accept(new VersionedDocument(snapshot.version(), ConfigSnapshotCodec.toDocument(snapshot)));
            LOG.info("Version {} of the document is in force.", snapshot.version());
        } catch (ServingException e) {
            LOG.error("Version {} of the document cannot be decoded: {}.", snapshot.version(), e.getMessage());
        }
    }

    private void callStore(DistributionAction action) {
        if (store == null) {
            executeOnControlThread(() -> distributor.storeFailed(clock.getAsLong()));
        } else if (action instanceof DistributionAction.WatchStore a) {
            watchStore(a);
        } else if (action instanceof DistributionAction.CheckRevision) {
            executeStoreCall(new StoreCall.CompareAndSwap(PublishedHead.KEY, IMPOSSIBLE_REVISION, ""));
        } else {
            executeStoreCall(new StoreCall.Get(PublishedHead.KEY));
        }
    }

    private void executeStoreCall(StoreCall call) {
        var unused = store.execute(call)
                .exceptionally(e -> new StoreReply.NoAnswer(call.key()))
                .thenAccept(reply -> executeOnControlThread(() -> storeReplied(reply)));
    }

    private void watchStore(DistributionAction.WatchStore action) {
        var unused = store.watch(PublishedHead.KEY, action.afterRevision(), action.waitMillis())
                .exceptionally(e -> new WatchReply.NoAnswer(PublishedHead.KEY))
                .thenAccept(reply -> executeOnControlThread(() -> watchReplied(reply)));
    }

    private List<DistributionAction> storeReplied(StoreReply reply) {
        long now = clock.getAsLong();
        if (reply instanceof StoreReply.Conflict conflict) {
            storeAnswered();
            return distributor.storeRevisionRead(conflict.revision(), now);
        }
        if (reply instanceof StoreReply.Found found) {
            return storeValueRead(found.value(), found.revision());
        }
        if (reply instanceof StoreReply.Missing) {
            storeAnswered();
            return distributor.storeUnchanged(now);
        }
        return storeFailed("the store does not answer");
    }

    private List<DistributionAction> watchReplied(WatchReply reply) {
        if (reply instanceof WatchReply.Changed changed) {
            return storeValueRead(changed.value(), changed.revision());
        }
        if (reply instanceof WatchReply.Unchanged) {
            storeAnswered();
            return distributor.storeUnchanged(clock.getAsLong());
        }
        return storeFailed("the store does not answer");
    }

    private List<DistributionAction> storeValueRead(String text, long revision) {
        try {
            ConfigSnapshot snapshot = ConfigSnapshotCodec.decodeStoreValue(text, revision);
            storeAnswered();
            return distributor.storeValueRead(snapshot, clock.getAsLong());
        } catch (ServingException e) {
            return storeFailed("the document in the store cannot be read: " + e.getMessage());
        }
    }

    private void storeAnswered() {
        if (!storeProblem.isEmpty()) {
            LOG.info("The store responds again.");
            storeProblem = "";
        }
    }

    private List<DistributionAction> storeFailed(String problem) {
        if (!storeProblem.equals(problem)) {
            LOG.warn("The version of the document cannot be checked: {}.", problem);
            storeProblem = problem;
        }
        return distributor.storeFailed(clock.getAsLong());
    }

    private void executeOnControlThread(java.util.function.Supplier<List<DistributionAction>> event) {
        control.execute(() -> carryOut(event.get()));
    }
}
