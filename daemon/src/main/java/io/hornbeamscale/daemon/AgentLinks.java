package io.hornbeamscale.daemon;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.gateway.ControlLoop;
import io.hornbeamscale.wire.FrameConnection;
import io.hornbeamscale.wire.FrameListener;
import io.hornbeamscale.wire.FrameLoop;
import io.hornbeamscale.wire.MessageCodec;
import io.hornbeamscale.wire.message.BackendStatusMessage;
import io.hornbeamscale.wire.message.HelloMessage;
import io.hornbeamscale.wire.message.Message;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Keeps one connection to every agent that the entry watches. Used on the control thread. */
final class AgentLinks {
    private static final Logger LOG = LogManager.getLogger("entry");
    private static final long FIRST_PAUSE_MILLIS = 100;
    private static final long MAX_PAUSE_MILLIS = 2_000;

    private final String node;
    private final long incarnation;
    private final FrameLoop frames;
    private final ControlLoop control;
    private final Events events;
    private final Map<BackendId, Link> links = new HashMap<>();

    AgentLinks(String node, long incarnation, FrameLoop frames, ControlLoop control, Events events) {
        this.node = node;
        this.incarnation = incarnation;
        this.frames = frames;
        this.control = control;
        this.events = events;
    }

    /** Connects to new agents and disconnects from those that are no longer listed or have moved. */
    void watch(Map<BackendId, InetSocketAddress> addresses) {
        for (Link link : List.copyOf(links.values())) {
            if (!link.address.equals(addresses.get(link.backend))) {
                links.remove(link.backend);
                link.connection.close("the backend server is no longer listed at this address");
                events.lost(link.backend);
            }
        }
        addresses.forEach((backend, address) -> {
            if (address != null && !links.containsKey(backend)) {
                Link link = new Link(backend, address);
                links.put(backend, link);
                link.connect();
            }
        });
    }

    /** Sends a message if the agent is connected; otherwise the caller learns through {@link Events#lost}. */
    void send(BackendId backend, Message message) {
        Link link = links.get(backend);
        if (link != null && link.isOpen) {
            link.connection.send(message);
        }
    }

    /** Returns the number of connected agents that have sent their status. */
    int known() {
        return (int) links.values().stream().filter(link -> link.isKnown).count();
    }

    /** Connects again where the pause has passed. */
    void tick(long nowMillis) {
        for (Link link : links.values()) {
            if (link.retryMillis >= 0 && nowMillis >= link.retryMillis) {
                link.connect();
            }
        }
    }

    /** Receives messages and losses on the control thread. */
    interface Events {
        /** An agent sent a message. */
        void received(BackendId backend, Message message);

        /** The connection to an agent was lost. */
        void lost(BackendId backend);
    }

    private final class Link implements FrameListener {
        private final BackendId backend;
        private final InetSocketAddress address;
        private FrameConnection connection;
        private boolean isOpen;
        private boolean isKnown;
        private long retryMillis = -1;
        private long pauseMillis = FIRST_PAUSE_MILLIS;

        Link(BackendId backend, InetSocketAddress address) {
            this.backend = backend;
            this.address = address;
        }

        void connect() {
            retryMillis = -1;
            connection = frames.connect(address, this);
        }

        @Override
        public void opened(FrameConnection opened) {
            opened.send(new HelloMessage(node, "entry", incarnation, MessageCodec.PROTOCOL_VERSION, 0, ""));
            control.execute(() -> {
                isOpen = links.get(backend) == this;
                pauseMillis = FIRST_PAUSE_MILLIS;
                LOG.info("The agent of {} is connected.", backend);
            });
        }

        @Override
        public void received(FrameConnection from, Message message) {
            control.execute(() -> {
                if (links.get(backend) == this) {
                    isKnown |= message instanceof BackendStatusMessage;
                    events.received(backend, message);
                }
            });
        }

        @Override
        public void closed(FrameConnection closed, String reason) {
            control.execute(() -> {
                boolean wasOpen = isOpen;
                isOpen = false;
                isKnown = false;
                if (links.get(backend) != this) {
                    return;
                }
                retryMillis = ControlLoop.now() + pauseMillis;
                pauseMillis = Math.min(MAX_PAUSE_MILLIS, pauseMillis * 2);
                if (wasOpen) {
                    LOG.warn("The agent of {} is disconnected: {}.", backend, reason);
                    events.lost(backend);
                }
            });
        }
    }
}
