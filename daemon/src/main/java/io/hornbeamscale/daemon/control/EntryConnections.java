package io.hornbeamscale.daemon.control;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.wire.FrameConnection;
import io.hornbeamscale.wire.FrameListener;
import io.hornbeamscale.wire.FrameLoop;
import io.hornbeamscale.wire.message.HelloMessage;
import io.hornbeamscale.wire.message.Message;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * Connections to other entries. An outgoing connection is opened on demand; above {@link #MAX_OUTGOING} the least
 * recently used one is closed, so that the number of connections does not grow with the number of entries. Used on the
 * control thread, except for {@link #accept}.
 */
final class EntryConnections {
    /** The greatest number of outgoing connections; replicas and watchers of a region use up to ten of them. */
    static final int MAX_OUTGOING = 16;

    private final FrameLoop frames;
    private final Executor control;
    private final Supplier<HelloMessage> hello;
    private final PeerEventHandler eventHandler;
    private final Map<InetSocketAddress, PeerConnection> outgoing = new LinkedHashMap<>(MAX_OUTGOING, 0.75f, true);
    private final Map<NodeId, PeerConnection> incoming = new HashMap<>();

    EntryConnections(FrameLoop frames, Executor control, Supplier<HelloMessage> hello, PeerEventHandler eventHandler) {
        this.frames = Arguments.notNull(frames, "frames");
        this.control = Arguments.notNull(control, "control");
        this.hello = Arguments.notNull(hello, "hello");
        this.eventHandler = Arguments.notNull(eventHandler, "eventHandler");
    }

    /** Returns the listener of a connection that another entry opened. */
    FrameListener accept() {
        return new PeerConnection(null);
    }

    /**
     * Sends a message over an existing connection, or over a new one if the address is not null; otherwise the message
     * is dropped.
     */
    void send(NodeId node, InetSocketAddress address, Message message) {
        PeerConnection peer = address == null ? null : outgoing.get(address);
        if (peer == null) {
            peer = incoming.get(node);
        }
        if (peer == null && address != null) {
            peer = open(address);
            peer.node = node;
        }
        if (peer != null) {
            peer.connection.send(message);
        }
    }

    /** Connects to an address and sends a hello; the peer's hello tells which node is there. */
    void connect(InetSocketAddress address) {
        if (!outgoing.containsKey(address)) {
            open(address);
        }
    }

    /** Returns the number of open connections in both directions. */
    int size() {
        return outgoing.size() + incoming.size();
    }

    private PeerConnection open(InetSocketAddress address) {
        if (outgoing.size() >= MAX_OUTGOING) {
            InetSocketAddress leastRecentlyUsed = outgoing.keySet().iterator().next();
            outgoing.remove(leastRecentlyUsed).connection.close("other peers are used more often");
        }
        PeerConnection peer = new PeerConnection(address);
        outgoing.put(address, peer);
        peer.connection = frames.connect(address, peer);
        peer.connection.send(hello.get());
        return peer;
    }

    /** Receives hellos, other messages and failed connections on the control thread. */
    interface PeerEventHandler {
        /** Handles the hello of a peer. */
        void helloReceived(HelloMessage peer);

        /** Handles another message of a peer. */
        void messageReceived(NodeId from, Message message);

        /** Handles a peer that does not accept connections. */
        void unreachable(NodeId node);
    }

    private final class PeerConnection implements FrameListener {
        /** The address of the peer, null if the peer opened the connection. */
        private final InetSocketAddress address;

        private FrameConnection connection;
        private NodeId node;
        private boolean isOpen;

        PeerConnection(InetSocketAddress address) {
            this.address = address;
        }

        @Override
        public void opened(FrameConnection opened) {
            control.execute(() -> isOpen = true);
        }

        @Override
        public void received(FrameConnection from, Message message) {
            control.execute(() -> {
                if (message instanceof HelloMessage peer) {
                    helloReceived(peer, from);
                } else if (node != null) {
                    eventHandler.messageReceived(node, message);
                }
            });
        }

        private void helloReceived(HelloMessage peer, FrameConnection from) {
            node = new NodeId(peer.node());
            if (address == null) {
                connection = from;
                incoming.put(node, this);
                from.send(hello.get());
            }
            eventHandler.helloReceived(peer);
        }

        @Override
        public void closed(FrameConnection closed, String reason) {
            control.execute(() -> {
                if (address == null) {
                    // No evidence of a failure: the peer may have closed its least recently used connection.
                    incoming.remove(node, this);
                    return;
                }
                boolean isCurrent = outgoing.remove(address, this);
                if (isCurrent && node != null && isOpen) {
                    // Reconnecting distinguishes a failed process from a connection that the peer closed.
                    open(address).node = node;
                } else if (isCurrent && node != null) {
                    eventHandler.unreachable(node);
                }
            });
        }
    }
}
