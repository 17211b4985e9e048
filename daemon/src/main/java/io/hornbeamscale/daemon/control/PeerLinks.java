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
 * Connections to other entries. An outgoing connection opens when there is something to send; beyond a limit, the least
 * recently used one closes, so the number of connections does not grow with the number of entries. Used on the control
 * thread, except for {@link #accept}.
 */
final class PeerLinks {
    /** The greatest number of outgoing connections. Replicas and watchers of a region take up to ten of them. */
    static final int MAX_OUTGOING = 16;

    private final FrameLoop frames;
    private final Executor control;
    private final Supplier<HelloMessage> hello;
    private final Events events;
    private final Map<InetSocketAddress, Link> outgoing = new LinkedHashMap<>(MAX_OUTGOING, 0.75f, true);
    private final Map<NodeId, Link> incoming = new HashMap<>();

    PeerLinks(FrameLoop frames, Executor control, Supplier<HelloMessage> hello, Events events) {
        this.frames = Arguments.notNull(frames, "frames");
        this.control = Arguments.notNull(control, "control");
        this.hello = Arguments.notNull(hello, "hello");
        this.events = Arguments.notNull(events, "events");
    }

    /** Returns the listener of a connection that another entry opened. */
    FrameListener accept() {
        return new Link(null);
    }

    /** Sends a message over an existing connection, or over a new one if the address is known. */
    void send(NodeId node, InetSocketAddress address, Message message) {
        Link link = address == null ? null : outgoing.get(address);
        if (link == null) {
            link = incoming.get(node);
        }
        if (link == null && address != null) {
            link = open(address);
            link.node = node;
        }
        if (link != null) {
            link.connection.send(message);
        }
    }

    /** Introduces this node at an address; the answer tells which node is there. */
    void contact(InetSocketAddress address) {
        if (!outgoing.containsKey(address)) {
            open(address);
        }
    }

    /** Returns the number of open connections in both directions. */
    int size() {
        return outgoing.size() + incoming.size();
    }

    private Link open(InetSocketAddress address) {
        if (outgoing.size() >= MAX_OUTGOING) {
            InetSocketAddress eldest = outgoing.keySet().iterator().next();
            outgoing.remove(eldest).connection.close("other peers are used more often");
        }
        Link link = new Link(address);
        outgoing.put(address, link);
        link.connection = frames.connect(address, link);
        link.connection.send(hello.get());
        return link;
    }

    /** Receives introductions, messages and failed connections on the control thread. */
    interface Events {
        /** A peer introduced itself. */
        void introduced(HelloMessage peer);

        /** A peer sent a message. */
        void received(NodeId from, Message message);

        /** A peer refuses connections. */
        void unreachable(NodeId node);
    }

    private final class Link implements FrameListener {
        /** Null for a connection that the peer opened. */
        private final InetSocketAddress address;

        private FrameConnection connection;
        private NodeId node;
        private boolean isOpen;

        Link(InetSocketAddress address) {
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
                    introduced(peer, from);
                } else if (node != null) {
                    events.received(node, message);
                }
            });
        }

        private void introduced(HelloMessage peer, FrameConnection from) {
            node = new NodeId(peer.node());
            if (address == null) {
                connection = from;
                incoming.put(node, this);
                from.send(hello.get());
            }
            events.introduced(peer);
        }

        @Override
        public void closed(FrameConnection closed, String reason) {
            control.execute(() -> {
                if (address == null) {
                    // The peer may have closed it because it uses others more often.
                    incoming.remove(node, this);
                    return;
                }
                boolean isCurrent = outgoing.remove(address, this);
                if (isCurrent && node != null && isOpen) {
                    // Only a second connection tells a failed process from a closed connection.
                    open(address).node = node;
                } else if (isCurrent && node != null) {
                    events.unreachable(node);
                }
            });
        }
    }
}
