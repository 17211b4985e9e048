package io.hornbeamscale.daemon.control;

import io.hornbeamscale.core.distribute.ConfigMessage;
import io.hornbeamscale.core.distribute.DistributionAction;
import io.hornbeamscale.core.distribute.VersionFollower;
import io.hornbeamscale.core.document.VersionedDocument;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.wire.message.LeavingMessage;
import io.hornbeamscale.wire.message.Message;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The control plane of an agent: receives document versions and leaving notices from entries. Control thread only. */
public final class AgentControlPlane {
    private static final Logger LOG = LogManager.getLogger("agent");
    private static final long TICK_INTERVAL_MILLIS = 100;

    private final NodeId self;
    private final long incarnation;
    private final LongSupplier clock;
    private final BiConsumer<NodeId, Message> sender;
    private final Consumer<VersionedDocument> apply;
    private final Runnable drainSelf;
    private final VersionFollower follower = new VersionFollower();
    private long nextTickMillis;

    /**
     * Creates the control plane of an agent.
     *
     * @param self the own node, not null
     * @param incarnation the incarnation of the process
     * @param clock the monotonic clock of the process, in milliseconds, not null
     * @param sender sends a message to a connected entry, not null
     * @param apply applies a version, not null
     * @param drainSelf drains the process, not null
     */
    public AgentControlPlane(
            NodeId self,
            long incarnation,
            LongSupplier clock,
            BiConsumer<NodeId, Message> sender,
            Consumer<VersionedDocument> apply,
            Runnable drainSelf) {
        this.self = Arguments.notNull(self, "self");
        this.incarnation = incarnation;
        this.clock = Arguments.notNull(clock, "clock");
        this.sender = Arguments.notNull(sender, "sender");
        this.apply = Arguments.notNull(apply, "apply");
        this.drainSelf = Arguments.notNull(drainSelf, "drainSelf");
    }

    /**
     * Runs the periodic work that is due.
     *
     * @param nowMillis the current time of the monotonic clock, in milliseconds
     */
    public void tick(long nowMillis) {
        if (nowMillis >= nextTickMillis) {
            nextTickMillis = nowMillis + TICK_INTERVAL_MILLIS;
            carryOut(follower.tick(nowMillis));
        }
    }

    /**
     * Handles a message from an entry; messages of the request path are ignored.
     *
     * @param entry the entry, not null
     * @param message the message, not null
     */
    public void received(NodeId entry, Message message) {
        if (message instanceof LeavingMessage m) {
            m.signs().forEach(this::leavingNoticeReceived);
            return;
        }
        ConfigMessage configMessage = ConfigMessages.read(message);
        if (configMessage != null) {
            carryOut(follower.received(entry, configMessage, clock.getAsLong()));
        }
    }

    /**
     * Handles the loss of the connection to an entry.
     *
     * @param entry the entry, not null
     */
    public void entryConnectionLost(NodeId entry) {
        follower.lost(entry);
    }

    /**
     * Returns the version in force.
     *
     * @return the version, 0 for none
     */
    public long version() {
        return follower.versionInForce();
    }

    /**
     * Returns the highest version that an entry has announced.
     *
     * @return the version, 0 for none
     */
    public long newestKnown() {
        return follower.newestKnown();
    }

    private void leavingNoticeReceived(LeavingMessage.Sign notice) {
        boolean isForThisProcess = notice.node().equals(self.value())
                && (notice.incarnation() == 0 || notice.incarnation() >= incarnation);
        if (isForThisProcess) {
            LOG.info("Entry {} reports that this VM is leaving.", notice.issuer());
            drainSelf.run();
        }
    }

    private void carryOut(List<DistributionAction> actions) {
        for (DistributionAction action : actions) {
            if (action instanceof DistributionAction.Send a) {
                sender.accept(a.peer(), ConfigMessages.of(a.message()));
            } else if (action instanceof DistributionAction.Apply a) {
                try {
                    apply.accept(new VersionedDocument(
                            a.snapshot().version(), ConfigSnapshotCodec.toDocument(a.snapshot())));
                    LOG.info(
                            "Version {} of the document is in force.",
                            a.snapshot().version());
                } catch (ServingException e) {
                    LOG.error(
                            "Version {} of the document cannot be decoded: {}.",
                            a.snapshot().version(),
                            e.getMessage());
                }
            }
        }
    }
}
