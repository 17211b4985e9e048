package io.hornbeamscale.daemon;

import io.hornbeamscale.core.distribute.Peer;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.wire.FrameConnection;
import io.hornbeamscale.wire.FrameListener;
import io.hornbeamscale.wire.FrameLoop;
import io.hornbeamscale.wire.MessageCodec;
import io.hornbeamscale.wire.message.Hello;
import io.hornbeamscale.wire.message.Message;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Connects the entries with each other. Each entry sends on the connections that it opened and receives on those that
 * others opened. Used on the control thread.
 */
final class PeerLinks {
    private static final Logger LOG = LogManager.getLogger("entry");
    private static final long PAUSE_MILLIS = 500;

    private final EntrySettings settings;
    private final long incarnation;
    private final FrameLoop frames;
    private final ControlLoop control;
    private final Events events;
    private final List<Outgoing> outgoing = new ArrayList<>();
    private final Map<NodeId, Outgoing> known = new HashMap<>();

    PeerLinks(EntrySettings settings, long incarnation, FrameLoop frames, ControlLoop control, Events events) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.frames = frames;
        this.control = control;
        this.events = events;
    }

    /** Accepts peers and returns the address on which it does. */
    InetSocketAddress listen() {
        return frames.listen(settings.frames(), Incoming::new);
    }

    /** Connects to the peers in the settings. */
    void connect() {
        for (InetSocketAddress address : settings.peers()) {
            Outgoing link = new Outgoing(address);
            outgoing.add(link);
            link.connect();
        }
        events.peersChanged(peers());
    }

    /** Sends a message to a peer; it is dropped if the peer is not connected. */
    void send(NodeId peer, Message message) {
        Outgoing link = known.get(peer);
        if (link != null) {
            link.connection.send(message);
        }
    }

    void tick(long nowMillis) {
        for (Outgoing link : outgoing) {
            if (link.retryMillis >= 0 && nowMillis >= link.retryMillis) {
                link.connect();
            }
        }
    }

    private Hello hello() {
        return new Hello(
                settings.node(), "entry", incarnation, MessageCodec.PROTOCOL_VERSION, 0, "", settings.region());
    }

    private List<Peer> peers() {
        List<Peer> peers = new ArrayList<>();
        known.values().forEach(link -> peers.add(link.peer));
        return peers;
    }

    /** Receives the messages of peers on the control thread. */
    interface Events {
        /** A peer sent a message. */
        void received(NodeId peer, Message message);

        /** A peer was connected or lost. */
        void peersChanged(List<Peer> peers);
    }

    /** A connection that this entry opened. */
    private final class Outgoing implements FrameListener {
        private final InetSocketAddress address;
        private FrameConnection connection;
        private Peer peer;
        private long retryMillis = -1;

        Outgoing(InetSocketAddress address) {
            this.address = address;
        }

        void connect() {
            retryMillis = -1;
            connection = frames.connect(address, this);
        }

        @Override
        public void opened(FrameConnection opened) {
            opened.send(hello());
        }

        @Override
        public void received(FrameConnection from, Message message) {
            if (message instanceof Hello hello && !hello.region().isBlank()) {
                control.execute(() -> {
                    peer = new Peer(new NodeId(hello.node()), new RegionId(hello.region()));
                    known.put(peer.node(), this);
                    LOG.info("Entry {} is connected.", peer.node());
                    events.peersChanged(peers());
                });
            }
        }

        @Override
        public void closed(FrameConnection closed, String reason) {
            control.execute(() -> {
                retryMillis = ControlLoop.now() + PAUSE_MILLIS;
                if (peer != null && known.remove(peer.node(), this)) {
                    LOG.warn("Entry {} is disconnected: {}.", peer.node(), reason);
                    events.peersChanged(peers());
                }
            });
        }
    }

    /** A connection that another entry opened. */
    private final class Incoming implements FrameListener {
        private NodeId peer;

        @Override
        public void opened(FrameConnection connection) {
            LOG.debug("A connection from {} is open.", connection.peer());
        }

        @Override
        public void received(FrameConnection connection, Message message) {
            if (message instanceof Hello hello) {
                peer = new NodeId(hello.node());
                connection.send(hello());
            } else if (peer != null) {
                NodeId from = peer;
                control.execute(() -> events.received(from, message));
            }
        }

        @Override
        public void closed(FrameConnection connection, String reason) {
            if (peer == null) {
                LOG.warn("A connection without an introduction ended: {}.", reason);
            }
        }
    }
}
