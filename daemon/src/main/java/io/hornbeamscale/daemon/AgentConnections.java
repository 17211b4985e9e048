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

/** Keeps one connection to every listed agent and reconnects with backoff. Used on the control thread. */
final class AgentConnections {
    private static final Logger LOG = LogManager.getLogger("entry");
    private static final long FIRST_RETRY_DELAY_MILLIS = 100;
    private static final long MAX_RETRY_DELAY_MILLIS = 2_000;

    private final String node;
    private final long incarnation;
    private final FrameLoop frames;
    private final ControlLoop control;
    private final Listener listener;
    private final Map<BackendId, AgentConnection> connections = new HashMap<>();

    AgentConnections(String node, long incarnation, FrameLoop frames, ControlLoop control, Listener listener) {
        this.node = node;
        this.incarnation = incarnation;
        this.frames = frames;
        this.control = control;
        this.listener = listener;
    }

    /** Connects to new agents and disconnects from those that are no longer listed or have a new address. */
    void setAddresses(Map<BackendId, InetSocketAddress> addresses) {
        for (AgentConnection agent : List.copyOf(connections.values())) {
            if (!agent.address.equals(addresses.get(agent.backend))) {
                connections.remove(agent.backend);
                agent.connection.close("the backend server is no longer listed at this address");
                listener.connectionLost(agent.backend);
            }
        }
        addresses.forEach((backend, address) -> {
            if (address != null && !connections.containsKey(backend)) {
                AgentConnection agent = new AgentConnection(backend, address);
                connections.put(backend, agent);
                agent.connect();
            }
        });
    }

    /**
     * Sends a message if the agent is connected; otherwise drops it, since {@link Listener#connectionLost} reports the
     * loss of the connection.
     */
    void send(BackendId backend, Message message) {
        AgentConnection agent = connections.get(backend);
        if (agent != null && agent.isOpen) {
            agent.connection.send(message);
        }
    }

    /** Returns the number of connected agents that have sent their status. */
    int knownCount() {
        return (int)
                connections.values().stream().filter(agent -> agent.hasStatus).count();
    }

    /** Reconnects to agents whose retry delay has passed. */
    void tick(long nowMillis) {
        for (AgentConnection agent : connections.values()) {
            if (agent.retryAtMillis >= 0 && nowMillis >= agent.retryAtMillis) {
                agent.connect();
            }
        }
    }

    /** Receives the events of connections on the control thread. */
    interface Listener {
        /** An agent sent a message. */
        void received(BackendId backend, Message message);

        /** The connection to an agent was lost, or the agent is no longer listed at its address. */
        void connectionLost(BackendId backend);
    }

    private final class AgentConnection implements FrameListener {
        private final BackendId backend;
        private final InetSocketAddress address;
        private FrameConnection connection;
        private boolean isOpen;
        private boolean hasStatus;
        private long retryAtMillis = -1;
        private long retryDelayMillis = FIRST_RETRY_DELAY_MILLIS;

        AgentConnection(BackendId backend, InetSocketAddress address) {
            this.backend = backend;
            this.address = address;
        }

        void connect() {
            retryAtMillis = -1;
            connection = frames.connect(address, this);
        }

        @Override
        public void opened(FrameConnection opened) {
            opened.send(new HelloMessage(node, "entry", incarnation, MessageCodec.PROTOCOL_VERSION, 0, ""));
            control.execute(() -> {
                isOpen = connections.get(backend) == this;
                retryDelayMillis = FIRST_RETRY_DELAY_MILLIS;
                LOG.info("Connected to the agent of {}.", backend);
            });
        }

        @Override
        public void received(FrameConnection from, Message message) {
            control.execute(() -> {
                if (connections.get(backend) == this) {
                    hasStatus |= message instanceof BackendStatusMessage;
                    listener.received(backend, message);
                }
            });
        }

        @Override
        public void closed(FrameConnection closed, String reason) {
            control.execute(() -> {
                boolean wasOpen = isOpen;
                isOpen = false;
                hasStatus = false;
                if (connections.get(backend) != this) {
                    return;
                }
                retryAtMillis = ControlLoop.now() + retryDelayMillis;
                retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, retryDelayMillis * 2);
                if (wasOpen) {
                    LOG.warn("Lost the connection to the agent of {}: {}.", backend, reason);
                    listener.connectionLost(backend);
                }
            });
        }
    }
}
