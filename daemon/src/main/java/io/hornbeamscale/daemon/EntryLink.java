package io.hornbeamscale.daemon;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.gateway.ControlLoop;
import io.hornbeamscale.wire.FrameConnection;
import io.hornbeamscale.wire.FrameListener;
import io.hornbeamscale.wire.message.HelloMessage;
import io.hornbeamscale.wire.message.Message;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The connection of one entry to an agent. It passes events to the control thread. */
final class EntryLink implements FrameListener {
    private static final Logger LOG = LogManager.getLogger("agent");

    private final ControlLoop control;
    private final Owner owner;
    private NodeId entry;

    EntryLink(ControlLoop control, Owner owner) {
        this.control = control;
        this.owner = owner;
    }

    @Override
    public void opened(FrameConnection connection) {
        LOG.debug("A connection from {} is open.", connection.peer());
    }

    @Override
    public void received(FrameConnection connection, Message message) {
        if (message instanceof HelloMessage hello) {
            entry = new NodeId(hello.node());
            NodeId known = entry;
            control.execute(() -> owner.introduced(known, connection));
        } else if (entry != null) {
            NodeId known = entry;
            control.execute(() -> owner.received(known, message));
        }
    }

    @Override
    public void closed(FrameConnection connection, String reason) {
        NodeId known = entry;
        if (known == null) {
            LOG.warn("A connection without an introduction ended: {}.", reason);
        } else {
            control.execute(() -> owner.lost(known, connection, reason));
        }
    }

    /** Receives the events on the control thread. */
    interface Owner {
        /** An entry introduced itself. */
        void introduced(NodeId entry, FrameConnection connection);

        /** An entry sent a message. */
        void received(NodeId entry, Message message);

        /** The connection ended. */
        void lost(NodeId entry, FrameConnection connection, String reason);
    }
}
