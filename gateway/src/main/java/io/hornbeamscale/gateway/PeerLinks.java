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
import java.util.function.Consumer;

/**
 * The connections between entries. Each entry connects to every other one and sends its news there; answers come back
 * on the connection that carried the question. Methods run on the control thread, except those of the frame listener.
 */
final class PeerLinks implements AutoCloseable {
    /** The pause before a lost connection is opened again, in milliseconds. */
    private static final long RECONNECT_MILLIS = 500;

    /**
     * The bytes that may wait on a connection. A peer that is cut off does not read, and old news is worthless, so the
     * connection is given up early.
     */
    private static final long MAX_QUEUED_BYTES = 64 * 1024;

    private final FrameLoop loop;
    private final Consumer<Runnable> control;
    private final Listener listener;
    private final DecisionLog log;
    private final Map<String, Link> links = new HashMap<>();
    private final Map<String, FrameConnection> incoming = new HashMap<>();

    PeerLinks(FrameLoop loop, Consumer<Runnable> control, Listener listener, DecisionLog log) {
        this.loop = loop;
        this.control = control;
        this.listener = listener;
        this.log = log;
    }

    /** Accepts connections of other entries. */
    void listen(Endpoint address) {
        loop.listen(new InetSocketAddress(address.ip(), address.port()), () -> new Incoming());
    }

    /** Connects to an entry, or to its new address. */
    void add(String name, Endpoint address) {
        Link known = links.get(name);
        if (known != null && known.address.equals(address)) {
            return;
        }
        remove(name);
        links.put(name, new Link(name, address));
    }

    /** Forgets an entry. */
    void remove(String name) {
        Link link = links.remove(name);
        if (link != null && link.connection != null) {
            link.connection.close("the entry is gone");
        }
    }

    /** Returns the number of other entries that are known. */
    int size() {
        return links.size();
    }

    /** Sends a message to every entry to which a connection is open. */
    void broadcast(Message message, long nowMillis) {
        for (Link link : new ArrayList<>(links.values())) {
            link.send(message, nowMillis);
        }
    }

    /** Sends a message to one entry. */
    void send(String name, Message message, long nowMillis) {
        Link link = links.get(name);
        FrameConnection back = incoming.get(name);
        if (link != null && link.isOpen) {
            link.send(message, nowMillis);
        } else if (back != null) {
            // A process that has just started knows no addresses while the store is away, but others know its own.
            back.send(message);
        }
    }

    @Override
    public void close() {
        loop.close();
    }

    private void received(FrameConnection connection, Message message) {
        control.accept(() -> {
            if (message instanceof EntryStatusMessage news) {
                incoming.put(news.node(), connection);
                listener.news(news);
            } else if (message instanceof StoreItemsRequestMessage wanted) {
                connection.send(listener.wanted(wanted));
            } else if (message instanceof StoreItemsMessage items) {
                listener.items(items);
            } else if (message instanceof LeavingMessage signs) {
                listener.leaving(signs);
            } else if (message instanceof QuarantineMessage news) {
                QuarantineCodec.decode(news).ifPresent(listener::crashes);
            }
        });
    }

    /** Hears what other entries tell. Methods run on the control thread. */
    interface Listener {
        /** Another entry's regular news. */
        void news(EntryStatusMessage news);

        /** Another entry was told by servers that they leave. */
        void leaving(LeavingMessage signs);

        /** Another entry has seen servers crash. */
        void crashes(QuarantineUpdate news);

        /** Another entry asks for changes. */
        StoreItemsMessage wanted(StoreItemsRequestMessage wanted);

        /** Another entry passes changes on. */
        void items(StoreItemsMessage items);
    }

    private final class Incoming implements FrameListener {
        @Override
        public void opened(FrameConnection connection) {
            // The peer speaks first.
        }

        @Override
        public void received(FrameConnection connection, Message message) {
            PeerLinks.this.received(connection, message);
        }

        @Override
        public void closed(FrameConnection connection, String reason) {
            control.accept(() -> incoming.values().remove(connection));
        }
    }

    private final class Link implements FrameListener {
        private final String name;
        private final Endpoint address;
        private FrameConnection connection;
        private boolean isOpen;
        private long retryAtMillis;

        Link(String name, Endpoint address) {
            this.name = name;
            this.address = address;
        }

        void send(Message message, long nowMillis) {
            if (connection == null) {
                if (nowMillis >= retryAtMillis) {
                    connection = loop.connect(new InetSocketAddress(address.ip(), address.port()), this);
                    retryAtMillis = nowMillis + RECONNECT_MILLIS;
                }
                return;
            }
            if (!isOpen) {
                if (nowMillis >= retryAtMillis + RECONNECT_MILLIS) {
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
            PeerLinks.this.received(from, message);
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
