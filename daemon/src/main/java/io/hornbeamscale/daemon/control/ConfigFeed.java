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

/** Feeds the distributor of document versions with messages and replies of the store. Used on the control thread. */
final class ConfigFeed {
    private static final Logger LOG = LogManager.getLogger("config");

    /** A compare-and-swap that expects this revision cannot succeed; its conflict tells the present revision. */
    private static final long NO_REVISION = Long.MAX_VALUE;

    private final ConfigDistributor distributor;
    private final KeyValueStore store;
    private final Executor control;
    private final LongSupplier clock;
    private final BiConsumer<NodeId, Message> sender;
    private final Consumer<VersionedDocument> apply;
    private long newestKnown;
    private String storeProblem = "";

    ConfigFeed(
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

    /** Replaces the list of live peers; nothing comes into force before the first call. */
    void peers(Collection<ConfigPeer> live) {
        distributor.updatePeers(live);
    }

    /** Handles a message; those of other kinds are ignored. */
    void received(NodeId from, Message message) {
        ConfigMessage read = ConfigMessages.read(message);
        if (read == null) {
            return;
        }
        if (read instanceof ConfigMessage.Digest digest) {
            newestKnown = Math.max(newestKnown, digest.version());
        }
        carryOut(distributor.received(from, read, clock.getAsLong()));
    }

    long version() {
        return distributor.versionInForce();
    }

    /** Returns the highest version that this node has heard of. */
    long newestKnown() {
        return Math.max(newestKnown, version());
    }

    boolean isWatcher() {
        return distributor.isWatcher();
    }

    /** Returns why the node may lag, empty if nothing is known to be wrong. */
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
                call(action);
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
            apply.accept(new VersionedDocument(snapshot.version(), DocumentEntities.document(snapshot)));
            LOG.info("Version {} of the document is in force.", snapshot.version());
        } catch (ServingException e) {
            LOG.error("Version {} of the document cannot be read: {}.", snapshot.version(), e.getMessage());
        }
    }

    private void call(DistributionAction action) {
        if (store == null) {
            later(() -> distributor.storeFailed(clock.getAsLong()));
        } else if (action instanceof DistributionAction.WatchStore a) {
            watch(a);
        } else if (action instanceof DistributionAction.CheckRevision) {
            execute(new StoreCall.CompareAndSwap(PublishedHead.KEY, NO_REVISION, ""));
        } else {
            execute(new StoreCall.Get(PublishedHead.KEY));
        }
    }

    private void execute(StoreCall call) {
        var unused = store.execute(call)
                .exceptionally(e -> new StoreReply.NoAnswer(call.key()))
                .thenAccept(reply -> later(() -> replied(reply)));
    }

    private void watch(DistributionAction.WatchStore action) {
        var unused = store.watch(PublishedHead.KEY, action.afterRevision(), action.waitMillis())
                .exceptionally(e -> new WatchReply.NoAnswer(PublishedHead.KEY))
                .thenAccept(reply -> later(() -> watched(reply)));
    }

    private List<DistributionAction> replied(StoreReply reply) {
        long now = clock.getAsLong();
        if (reply instanceof StoreReply.Conflict conflict) {
            answered();
            return distributor.storeRevisionRead(conflict.revision(), now);
        }
        if (reply instanceof StoreReply.Found found) {
            return value(found.value(), found.revision());
        }
        if (reply instanceof StoreReply.Missing) {
            answered();
            return distributor.storeUnchanged(now);
        }
        return failed("the store does not answer");
    }

    private List<DistributionAction> watched(WatchReply reply) {
        if (reply instanceof WatchReply.Changed changed) {
            return value(changed.value(), changed.revision());
        }
        if (reply instanceof WatchReply.Unchanged) {
            answered();
            return distributor.storeUnchanged(clock.getAsLong());
        }
        return failed("the store does not answer");
    }

    private List<DistributionAction> value(String text, long revision) {
        try {
            ConfigSnapshot snapshot = DocumentEntities.ofStore(text, revision);
            answered();
            return distributor.storeValueRead(snapshot, clock.getAsLong());
        } catch (ServingException e) {
            return failed("the document in the store cannot be read: " + e.getMessage());
        }
    }

    private void answered() {
        if (!storeProblem.isEmpty()) {
            LOG.info("The store answers again.");
            storeProblem = "";
        }
    }

    private List<DistributionAction> failed(String problem) {
        if (!storeProblem.equals(problem)) {
            LOG.warn("The document's version is not checked: {}.", problem);
            storeProblem = problem;
        }
        return distributor.storeFailed(clock.getAsLong());
    }

    private void later(java.util.function.Supplier<List<DistributionAction>> event) {
        control.execute(() -> carryOut(event.get()));
    }
}
