package io.hornbeamscale.daemon;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.gateway.ControlLoop;
import io.hornbeamscale.wire.FrameConnection;
import io.hornbeamscale.wire.FrameListener;
import io.hornbeamscale.wire.message.HelloMessage;
import io.hornbeamscale.wire.message.Message;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The connection of one entry to an agent. Passes its events to the control thread. */
final class EntryConnection implements FrameListener {
    private static final Logger LOG = LogManager.getLogger("agent");

    private final ControlLoop control;
    private final Listener listener;
    private NodeId entry;

    EntryConnection(ControlLoop control, Listener listener) {
        this.control = control;
        this.listener = listener;
    }

    @Override
    public void opened(FrameConnection connection) {
        LOG.debug("Accepted a connection from {}.", connection.peer());
    }

    @Override
    public void received(FrameConnection connection, Message message) {
        if (message instanceof HelloMessage hello) {
            entry = new NodeId(hello.node());
            NodeId sender = entry;
            control.execute(() -> listener.entryConnected(sender, connection));
        } else if (entry != null) {
            NodeId sender = entry;
            control.execute(() -> listener.received(sender, message));
        }
    }

    @Override
    public void closed(FrameConnection connection, String reason) {
        NodeId sender = entry;
        if (sender == null) {
            LOG.warn("A connection ended before the entry sent its hello message: {}.", reason);
        } else {
            control.execute(() -> listener.entryDisconnected(sender, connection, reason));
        }
    }

    /** Receives the events of connections on the control thread. */
    interface Listener {
        /** An entry sent its hello message, which names it. */
        void entryConnected(NodeId entry, FrameConnection connection);

        /** An entry sent a message. */
        void received(NodeId entry, Message message);

        /** The connection to an entry ended. */
        void entryDisconnected(NodeId entry, FrameConnection connection, String reason);
    }
}
