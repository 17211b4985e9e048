package io.hornbeamscale.gateway;

import io.hornbeamscale.core.limit.ClientLimits;
import io.hornbeamscale.core.limit.HeldBytesBudget;
import io.hornbeamscale.core.route.CallerLimits;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * The open connections of callers: bounds their number and what is held for them, closes those that are idle or send a
 * head or body for longer than allowed, and notifies the request in progress if its caller closes the connection. A
 * request that is in transit when its connection is closed has not been read, so the caller may send it again. Runs on
 * the traffic thread.
 */
final class CallerConnections {
    /**
     * How much longer than allowed a connection is kept, in milliseconds; covers the caller's clock and the network
     * delay.
     */
    private static final long SLACK_MILLIS = 300;

    /** How long the rest of a refused request is read, in milliseconds, so that the response arrives. */
    private static final long DISCARD_MILLIS = 2_000;

    /**
     * How long a client must have kept this process waiting to be closed in favour of a large body, in milliseconds.
     * 4 MB take 0.35 s at 100 Mbit/s.
     */
    private static final long SLOW_MILLIS = 1_000;

    /** A timer of this time, in milliseconds, runs after the next call of the selector. */
    private static final long SELECT_MILLIS = 1;

    private final ClientLimits limits;
    private final XnioIoThread thread;
    private final GatewayMetrics metrics;
    private final DecisionLog log;
    private final HeldBytesBudget<CallerChannel> budget;
    private final Map<StreamConnection, CallerChannel> channels = new HashMap<>();

    /** The bytes that were held for connections that are being closed. */
    private long closingBytes;

    CallerConnections(ClientLimits limits, XnioIoThread thread, GatewayMetrics metrics, DecisionLog log) {
        this.limits = limits;
        this.thread = thread;
        this.metrics = metrics;
        this.log = log;
        budget = new HeldBytesBudget<>(limits.heldBytes());
    }

    /**
     * Adds a connection before its first byte is read and passes it on, or closes it if there are too many.
     *
     * @param connection the connection
     * @param open parses the requests of the connection
     */
    void accept(StreamConnection connection, ChannelListener<? super StreamConnection> open) {
        long now = ControlLoop.now();
        if (channels.size() >= limits.connections() && !closeOldestUnused()) {
            clientClosed("connections", 0);
            IoUtils.safeClose(connection);
            return;
        }
        CallerChannel channel = new CallerChannel(this, connection, budget, now);
        channels.put(connection, channel);
        connection.getSourceChannel().setConduit(channel);
        closeIfNearlyUsed(now);
        ChannelListeners.invokeChannelListener(connection, open);
        ChannelListener<? super StreamConnection> previous = connection.getCloseListener();
        connection.setCloseListener(closed -> {
            closed(closed);
            ChannelListeners.invokeChannelListener(closed, previous);
        });
        if (!connection.isOpen()) {
            closed(connection);
        }
    }

    /** Marks a connection as in use until its request ends. */
    void requestStarted(HttpServerExchange exchange, long nowMillis) {
        if (!(exchange.getConnection() instanceof HttpServerConnection connection)) {
            return;
        }
        CallerChannel channel = channels.get(connection.getChannel());
        if (channel == null) {
            return;
        }
        channel.attachTo(exchange);
        channel.requestStarted(nowMillis);
        exchange.addExchangeCompleteListener((ended, next) -> {
            PooledByteBuffer extra = connection.getExtraBytes();
            channel.requestEnded(extra == null ? null : extra.getBuffer().duplicate(), ControlLoop.now());
            next.proceed();
        });
    }

    /**
     * Sets the relay that is notified if the caller closes the connection before its response is complete.
     *
     * @return whether the connection is open; if not, the relay must not begin
     */
    boolean setRelay(HttpServerExchange exchange, Relay relay) {
        CallerChannel channel = CallerChannel.of(exchange);
        if (channel == null || channel.isReleased()) {
            return false;
        }
        channel.setRelay(relay);
        return true;
    }

    /** Returns the number of connections with a request whose response has not been written completely. */
    int connectionsInUse() {
        return (int) channels.values().stream()
                .filter(each -> each.phase() != CallerChannel.Phase.IDLE && each.phase() != CallerChannel.Phase.HEAD)
                .count();
    }

    /** Closes the connections that were idle, or have been sending a head or body, for longer than the limits. */
    void closeExpired(CallerLimits allowed, long nowMillis) {
        metrics.setHeldBytes(budget.usedBytes());
        for (CallerChannel each : new ArrayList<>(channels.values())) {
            long age = nowMillis - each.phaseSinceMillis();
            switch (each.phase()) {
                case IDLE -> closeIf(age > allowed.idleTimeoutMillis() + SLACK_MILLIS, each, "");
                case HEAD -> closeIf(age > allowed.headerTimeoutMillis() + SLACK_MILLIS, each, "head_timeout");
                case DISCARD -> closeIf(age > DISCARD_MILLIS, each, "");
                case BODY -> each.body().refuseIfExpired(allowed.idleTimeoutMillis() + SLACK_MILLIS, nowMillis);
                default -> {
                    // The deadline of the request ends it.
                }
            }
        }
    }

    /** Closes the slowest and largest clients if nearly all bytes for callers are in use. */
    void closeIfNearlyUsed(long nowMillis) {
        long used = budget.usedBytes();
        closeForMemory(budget.selectToClose(nowMillis), used);
    }

    /**
     * Makes room for a large body by closing slow clients.
     *
     * @return whether the body may be read
     */
    boolean tryBeginLargeBody(long nowMillis) {
        long used = budget.usedBytes();
        closeForMemory(budget.selectForLargeBody(SLOW_MILLIS, nowMillis), used);
        return budget.hasRoomForLargeBody();
    }

    /** Counts and logs that a client is refused or closed because of a limit on all clients. */
    void clientClosed(String reason, long heldMillis) {
        metrics.count("clients_closed." + reason);
        log.clientClosed(reason, heldMillis, budget.usedBytes(), channels.size());
    }

    /**
     * Returns whether nothing more must be read, as the objects of closed connections still fill the heap: the selector
     * refers to them until it is called again.
     */
    boolean mustWait() {
        return closingBytes > 0 && budget.usedBytes() + closingBytes > limits.heldBytes();
    }

    private void closeForMemory(List<CallerChannel> selected, long usedBefore) {
        if (selected.isEmpty()) {
            return;
        }
        long bytes = usedBefore - budget.usedBytes();
        closingBytes += bytes;
        selected.forEach(this::closeForMemory);
        thread.executeAfter(() -> closingBytes -= bytes, SELECT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** The bytes are counted as free at once; the connection is closed outside of the call that needed them. */
    private void closeForMemory(CallerChannel channel) {
        clientClosed("memory", ControlLoop.now() - channel.phaseSinceMillis());
        RequestBodyReader body = channel.body();
        if (body != null) {
            body.discard();
            thread.execute(() -> body.refuseForMemory());
        } else {
            thread.execute(channel::close);
        }
    }

    private void closeIf(boolean isExpired, CallerChannel channel, String reason) {
        if (isExpired) {
            if (!reason.isEmpty()) {
                clientClosed(reason, ControlLoop.now() - channel.phaseSinceMillis());
            }
            channel.close();
        }
    }

    /** Closes the connection that has been without a complete head for the longest time. */
    private boolean closeOldestUnused() {
        List<CallerChannel> unused = new ArrayList<>();
        for (CallerChannel each : channels.values()) {
            if (each.phase() == CallerChannel.Phase.IDLE || each.phase() == CallerChannel.Phase.HEAD) {
                unused.add(each);
            }
        }
        CallerChannel oldest = null;
        for (CallerChannel each : unused) {
            boolean isIdler = oldest == null || each.phase().compareTo(oldest.phase()) < 0;
            boolean isOlder = oldest != null
                    && each.phase() == oldest.phase()
                    && each.phaseSinceMillis() < oldest.phaseSinceMillis();
            if (isIdler || isOlder) {
                oldest = each;
            }
        }
        if (oldest == null) {
            return false;
        }
        clientClosed("connections", ControlLoop.now() - oldest.phaseSinceMillis());
        oldest.close();
        channels.values().remove(oldest);
        oldest.release();
        return true;
    }

    private void closed(StreamConnection connection) {
        CallerChannel channel = channels.remove(connection);
        if (channel != null) {
            channel.release();
        }
    }
}
