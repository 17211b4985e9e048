package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.quarantine.QuarantineUpdate;
import io.hornbeamscale.wire.FrameConnection;
import io.hornbeamscale.wire.FrameListener;
import io.hornbeamscale.wire.FrameLoop;
import io.hornbeamscale.wire.QuarantineCodec;
import io.hornbeamscale.wire.message.EntryStatusMessage;
import io.hornbeamscale.wire.message.LeavingMessage;
import io.hornbeamscale.wire.message.Message;
import io.hornbeamscale.wire.message.QuarantineMessage;
import io.hornbeamscale.wire.message.StoreItemsMessage;
import io.hornbeamscale.wire.message.StoreItemsRequestMessage;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The connections between entries. Each entry connects to every other one and sends its messages there; responses
 * return on the connection that carried the request. Methods run on the control thread, except those of the frame
 * listeners.
 */
final class PeerConnections implements AutoCloseable {
    /**
     * The minimum interval between two attempts to connect to the same entry, in milliseconds. An attempt is given up
     * after two intervals.
     */
    private static final long RECONNECT_INTERVAL_MILLIS = 500;

    /**
     * The number of queued bytes above which a connection is closed, and above which requested items are not queued. A
     * peer that is cut off does not read, and old status messages are worthless, so the limit is low.
     */
    private static final long MAX_QUEUED_BYTES = 64 * 1024;

    private final FrameLoop loop;
    private final Consumer<Runnable> control;
    private final Listener listener;
    private final DecisionLog log;
    private final Map<String, OutgoingConnection> outgoing = new HashMap<>();
    private final Map<String, FrameConnection> incoming = new HashMap<>();

    PeerConnections(FrameLoop loop, Consumer<Runnable> control, Listener listener, DecisionLog log) {
        this.loop = loop;
        this.control = control;
        this.listener = listener;
        this.log = log;
    }

    /** Accepts connections of other entries. */
    void listen(Endpoint address) {
        loop.listen(new InetSocketAddress(address.ip(), address.port()), () -> new IncomingListener());
    }

    /** Adds an entry, or changes its address. */
    void add(String name, Endpoint address) {
        OutgoingConnection previous = outgoing.get(name);
        if (previous != null && previous.address.equals(address)) {
            return;
        }
        remove(name);
        outgoing.put(name, new OutgoingConnection(name, address));
    }

    /** Removes an entry and closes the connection to it. */
    void remove(String name) {
        OutgoingConnection peer = outgoing.remove(name);
        if (peer != null && peer.connection != null) {
            peer.connection.close("the entry was removed");
        }
    }

    /** Returns the names of the other entries that are known. */
    Set<String> names() {
        return Set.copyOf(outgoing.keySet());
    }

    /** Returns the number of other entries that are known. */
    int size() {
        return outgoing.size();
    }

    /** Sends a message to every entry with an open connection, and starts to connect to the others. */
    void broadcast(Message message, long nowMillis) {
        for (OutgoingConnection peer : new ArrayList<>(outgoing.values())) {
            peer.send(message, nowMillis);
        }
    }

    /** Sends a message to one entry, and returns whether there is an open connection to it. */
    boolean send(String name, Message message, long nowMillis) {
        OutgoingConnection peer = outgoing.get(name);
        FrameConnection back = incoming.get(name);
        if (peer != null && peer.isOpen) {
            peer.send(message, nowMillis);
            return peer.isOpen;
        }
        if (back != null) {
            // A process that started during a store outage knows no addresses, but other entries know its own and are
            // connected.
            back.send(message);
        }
        return back != null;
    }

    @Override
    public void close() {
        loop.close();
    }

    private void received(FrameConnection connection, Message message) {
        control.accept(() -> {
            if (message instanceof EntryStatusMessage status) {
                incoming.put(status.node(), connection);
                listener.statusReceived(status);
            } else if (message instanceof StoreItemsRequestMessage itemsRequest) {
                // The peer asks again; an answer for each request would fill the memory while it does not read.
                if (connection.queuedBytes() <= MAX_QUEUED_BYTES) {
                    connection.send(listener.itemsRequested(itemsRequest));
                }
            } else if (message instanceof StoreItemsMessage items) {
                listener.itemsReceived(items);
            } else if (message instanceof LeavingMessage leaving) {
                listener.serversLeaving(leaving);
            } else if (message instanceof QuarantineMessage quarantine) {
                QuarantineCodec.decode(quarantine).ifPresent(listener::quarantineNewsReceived);
            }
        });
    }

    /** Receives the messages of other entries. Methods run on the control thread. */
    interface Listener {
        /** Handles the status of another entry. */
        void statusReceived(EntryStatusMessage status);

        /** Handles the news of another entry that servers are leaving. */
        void serversLeaving(LeavingMessage message);

        /** Handles the news of another entry about crashed servers and quarantined requests. */
        void quarantineNewsReceived(QuarantineUpdate news);

        /** Returns the items that another entry requests. */
        StoreItemsMessage itemsRequested(StoreItemsRequestMessage request);

        /** Handles items sent by another entry. */
        void itemsReceived(StoreItemsMessage items);
    }

    private final class IncomingListener implements FrameListener {
        @Override
        public void opened(FrameConnection connection) {
            // The peer sends the first message.
        }

        @Override
        public void received(FrameConnection connection, Message message) {
            PeerConnections.this.received(connection, message);
        }

        @Override
        public void closed(FrameConnection connection, String reason) {
            control.accept(() -> incoming.values().remove(connection));
        }
    }

    private final class OutgoingConnection implements FrameListener {
        private final String name;
        private final Endpoint address;
        private FrameConnection connection;
        private boolean isOpen;
        private long retryAtMillis;

        OutgoingConnection(String name, Endpoint address) {
            this.name = name;
            this.address = address;
        }

        void send(Message message, long nowMillis) {
            if (connection == null) {
                if (nowMillis >= retryAtMillis) {
                    connection = loop.connect(new InetSocketAddress(address.ip(), address.port()), this);
                    retryAtMillis = nowMillis + RECONNECT_INTERVAL_MILLIS;
                }
                return;
            }
            if (!isOpen) {
                if (nowMillis >= retryAtMillis + RECONNECT_INTERVAL_MILLIS) {
                    connection.close("no connection in time");
                }
                return;
            }
            if (connection.queuedBytes() > MAX_QUEUED_BYTES) {
                connection.close("the peer does not read");
                return;
            }
            connection.send(message);
        }

        @Override
        public void opened(FrameConnection opened) {
            control.accept(() -> {
                if (connection == opened) {
                    isOpen = true;
                    log.processEvent("entry_regained", name);
                }
            });
        }

        @Override
        public void received(FrameConnection from, Message message) {
            PeerConnections.this.received(from, message);
        }

        @Override
        public void closed(FrameConnection from, String reason) {
            control.accept(() -> {
                if (connection != from) {
                    return;
                }
                if (isOpen) {
                    log.processEvent("entry_lost", name + ": " + reason);
                }
                connection = null;
                isOpen = false;
            });
        }
    }
}
