package io.hornbeamscale.daemon;

import io.hornbeamscale.core.audit.PublishedHead;
import io.hornbeamscale.core.distribute.ConfigDistributor;
import io.hornbeamscale.core.distribute.ConfigMessage;
import io.hornbeamscale.core.distribute.ConfigSnapshot;
import io.hornbeamscale.core.distribute.DistributeAction;
import io.hornbeamscale.core.distribute.Peer;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.platform.KeyValueStore;
import io.hornbeamscale.platform.WatchReply;
import io.hornbeamscale.wire.message.Message;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Takes part in the distribution of document versions. Used on the control thread. */
final class ConfigNode {
    private static final Logger LOG = LogManager.getLogger("config");

    private final ConfigDistributor distributor;
    private final KeyValueStore store;
    private final ControlLoop control;
    private final BiConsumer<NodeId, Message> sender;
    private final Consumer<Document> applied;
    private volatile long version;

    ConfigNode(
            EntrySettings settings,
            KeyValueStore store,
            ControlLoop control,
            BiConsumer<NodeId, Message> sender,
            Consumer<Document> applied) {
        Peer self = new Peer(new NodeId(settings.node()), new RegionId(settings.region()));
        SplittableRandom random = new SplittableRandom(Incarnations.next());
        this.distributor = new ConfigDistributor(self, new RegionId(settings.storeRegion()), random, ControlLoop.now());
        this.store = store;
        this.control = control;
        this.sender = sender;
        this.applied = applied;
    }

    /** Returns the version in force, 0 for none. */
    long version() {
        return version;
    }

    void peers(List<Peer> peers) {
        distributor.peers(peers);
    }

    void tick(long nowMillis) {
        carryOut(distributor.tick(nowMillis));
    }

    /** Handles a message of a peer if it is about document versions. */
    void received(NodeId from, Message message, long nowMillis) {
        ConfigMessage read = ConfigMessages.read(message);
        if (read != null) {
            carryOut(distributor.received(from, read, nowMillis));
        }
    }

    private void carryOut(List<DistributeAction> actions) {
        for (DistributeAction action : actions) {
            if (action instanceof DistributeAction.Send a) {
                sender.accept(a.peer(), ConfigMessages.of(a.message()));
            } else if (action instanceof DistributeAction.Apply a) {
                apply(a.snapshot());
            } else if (action instanceof DistributeAction.CheckRevision) {
                call(new StoreCall.CompareAndSwap(PublishedHead.KEY, Long.MAX_VALUE, "check"), this::checked);
            } else if (action instanceof DistributeAction.ReadStore) {
                call(new StoreCall.Get(PublishedHead.KEY), this::read);
            } else if (action instanceof DistributeAction.WatchStore a) {
                watch(a);
            }
        }
    }

    private void apply(ConfigSnapshot snapshot) {
        version = snapshot.version();
        if (version > 0) {
            applied.accept(Snapshots.document(snapshot));
            LOG.info("Version {} of the document is in force.", version);
        }
    }

    private List<DistributeAction> checked(StoreReply reply) {
        if (reply instanceof StoreReply.Conflict conflict) {
            return distributor.storeRevision(conflict.revision(), ControlLoop.now());
        }
        return distributor.storeFailed(ControlLoop.now());
    }

    private List<DistributeAction> read(StoreReply reply) {
        if (reply instanceof StoreReply.Found found) {
            return learned(found.value(), found.revision());
        }
        if (reply instanceof StoreReply.Missing) {
            return distributor.storeValue(ConfigSnapshot.EMPTY, ControlLoop.now());
        }
        return distributor.storeFailed(ControlLoop.now());
    }

    private List<DistributeAction> learned(String value, long revision) {
        try {
            return distributor.storeValue(Snapshots.of(value, revision), ControlLoop.now());
        } catch (RuntimeException e) {
            LOG.error("The store's document cannot be read; the present version stays in force.", e);
            return distributor.storeFailed(ControlLoop.now());
        }
    }

    private void call(StoreCall call, Function<StoreReply, List<DistributeAction>> handler) {
        StoreReply none = new StoreReply.NoAnswer(call.key());
        finish(store == null ? null : store.execute(call), none, handler);
    }

    private void watch(DistributeAction.WatchStore a) {
        WatchReply none = new WatchReply.NoAnswer(PublishedHead.KEY);
        finish(
                store == null ? null : store.watch(PublishedHead.KEY, a.afterRevision(), a.waitMillis()),
                none,
                reply -> {
                    if (reply instanceof WatchReply.Changed changed) {
                        return learned(changed.value(), changed.revision());
                    }
                    return reply instanceof WatchReply.Unchanged
                            ? distributor.storeUnchanged(ControlLoop.now())
                            : distributor.storeFailed(ControlLoop.now());
                });
    }

    private <T> void finish(CompletionStage<T> stage, T none, Function<T, List<DistributeAction>> handler) {
        if (stage == null) {
            control.execute(() -> carryOut(handler.apply(none)));
            return;
        }
        var unused = stage.exceptionally(e -> {
                    LOG.warn("The store failed: {}.", e.getMessage());
                    return none;
                })
                .thenAccept(reply -> control.execute(() -> carryOut(handler.apply(reply))));
    }
}
