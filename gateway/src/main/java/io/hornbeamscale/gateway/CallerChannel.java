package io.hornbeamscale.gateway;

import io.hornbeamscale.core.limit.HeldBytesBudget;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The connection of a caller: counts what is held for it while a head is read, a body is read or a response waits to be
 * read. All methods run on the traffic thread.
 */
final class CallerChannel extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final AttachmentKey<CallerChannel> KEY = AttachmentKey.create(CallerChannel.class);

    /** The objects of an open connection, in bytes. */
    private static final int CONNECTION_BYTES = 4_096;

    /** The objects of a request, in bytes. */
    private static final int REQUEST_BYTES = 2_048;

    /** The objects of a parsed header line or parameter besides its text: name, value, list and table, in bytes. */
    private static final int LINE_BYTES = 200;

    /** What a byte of a head takes: the byte in the parser's growing text and the byte in the parsed one. */
    private static final int BYTES_PER_HEAD_BYTE = 3;

    /**
     * What a byte of a trailer or of the framing of chunks may take: a trailer line is at least 4 bytes long and costs
     * as much as a header line.
     */
    private static final int BYTES_PER_FRAMING_BYTE = LINE_BYTES / 4;

    /** Two buffers: bytes of a body that were read from the connection and not yet delivered as body. */
    private static final int FREE_FRAMING_BYTES = 16 * 1_024;

    /** The greatest number of bytes that may follow each other in a body without a byte of its content. */
    private static final int MAX_FRAMING_BYTES = 64 * 1_024;

    private final CallerConnections connections;
    private final StreamConnection connection;
    private final HeldBytesBudget<CallerChannel>.Holding holding;
    private Phase phase = Phase.IDLE;
    private long phaseSinceMillis;
    private boolean isFirstLine = true;
    private long framingBytes;
    private RequestBodyReader body;
    private Relay relay;

    CallerChannel(
            CallerConnections connections,
            StreamConnection connection,
            HeldBytesBudget<CallerChannel> budget,
            long nowMillis) {
        super(connection.getSourceChannel().getConduit());
        this.connections = connections;
        this.connection = connection;
        this.holding = budget.open(this);
        holding.add(CONNECTION_BYTES);
        setPhase(Phase.IDLE, nowMillis);
        holding.startWaiting(nowMillis);
    }

    /** Returns the connection of a request, null if it was not accepted for callers. */
    static CallerChannel of(HttpServerExchange exchange) {
        return exchange.getConnection().getAttachment(KEY);
    }

    void attachTo(HttpServerExchange exchange) {
        exchange.getConnection().putAttachment(KEY, this);
    }

    Phase phase() {
        return phase;
    }

    /** Returns when the phase began, in milliseconds. */
    long phaseSinceMillis() {
        return phaseSinceMillis;
    }

    /** Returns the reader of the body, null outside of {@link Phase#BODY}. */
    RequestBodyReader body() {
        return body;
    }

    /** Sets the relay that is notified if the request ends before its response is complete. */
    void setRelay(Relay started) {
        relay = started;
    }

    void close() {
        IoUtils.safeClose(connection);
    }

    /** Returns all bytes, as the connection is closed, and notifies the request in progress. */
    void release() {
        holding.release();
        if (body != null) {
            body.discard();
        }
        endRelay();
    }

    /** Returns whether the connection was selected to be closed or is closed. */
    boolean isReleased() {
        return holding.isReleased();
    }

    /** Ends the counting of the head, which stays charged until the request ends. */
    void requestStarted(long nowMillis) {
        setPhase(Phase.SERVED, nowMillis);
        holding.stopWaiting();
    }

    void bodyStarted(RequestBodyReader reader, long nowMillis) {
        body = reader;
        framingBytes = 0;
        setPhase(Phase.BODY, nowMillis);
        holding.startWaiting(nowMillis);
    }

    void bodyEnded(long nowMillis) {
        clearFraming();
        body = null;
        setPhase(Phase.SERVED, nowMillis);
        holding.stopWaiting();
    }

    /** Waits for a short time for the rest of a request that was refused, so that its caller reads the response. */
    void discardRest(long nowMillis) {
        clearFraming();
        body = null;
        setPhase(Phase.DISCARD, nowMillis);
        holding.stopWaiting();
    }

    /** Notes that the caller has sent content of its body. */
    void bodyReceived() {
        clearFraming();
    }

    /** Counts bytes that are held for the request or its response. */
    void hold(long bytes, long nowMillis) {
        holding.add(bytes);
        connections.closeIfNearlyUsed(nowMillis);
    }

    void free(long bytes) {
        holding.remove(holding.isReleased() ? 0 : bytes);
    }

    /** Notes that the caller does not read its response as fast as it is sent. */
    void responseBlocked(long nowMillis) {
        holding.startWaiting(nowMillis);
    }

    void responseWritten() {
        holding.stopWaiting();
    }

    /**
     * Ends a request. If its caller closes the connection, the HTTP server ends the request before it notifies of the
     * close, so a relay that is still running has lost its caller.
     *
     * @param next the bytes of the next request that were read already, null for none
     */
    void requestEnded(ByteBuffer next, long nowMillis) {
        endRelay();
        body = null;
        framingBytes = 0;
        if (!holding.isReleased()) {
            holding.remove(holding.bytes() - CONNECTION_BYTES);
        }
        setPhase(Phase.IDLE, nowMillis);
        holding.stopWaiting();
        holding.startWaiting(nowMillis);
        if (next != null && next.hasRemaining()) {
            headReceived(next, nowMillis);
        }
    }

    @Override
    public int read(ByteBuffer to) throws IOException {
        if (phase != Phase.SERVED && phase != Phase.DISCARD && connections.mustWait()) {
            // The connection stays readable, so it is read after the next call of the selector.
            return 0;
        }
        int start = to.position();
        int count = next.read(to);
        if (count > 0) {
            ByteBuffer received = to.duplicate();
            received.flip().position(start);
            received(received);
        }
        return count;
    }

    @Override
    public long read(ByteBuffer[] to, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (to[i].hasRemaining()) {
                return read(to[i]);
            }
        }
        return 0;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
        return Conduits.transfer(this, count, throughBuffer, target);
    }

    private void received(ByteBuffer bytes) throws IOException {
        long now = ControlLoop.now();
        if (phase == Phase.IDLE || phase == Phase.HEAD) {
            headReceived(bytes, now);
        } else if (phase == Phase.BODY) {
            framingReceived(bytes.remaining(), now);
        }
        if (holding.isReleased() && phase != Phase.DISCARD) {
            throw new IOException("the connection is being closed, as too much is held for callers");
        }
    }

    /** Notifies the relay, which ignores it if its response is complete. */
    private void endRelay() {
        Relay ended = relay;
        relay = null;
        if (ended != null) {
            ended.callerDisconnected();
        }
    }

    private void headReceived(ByteBuffer bytes, long nowMillis) {
        int cost = bytes.remaining() * BYTES_PER_HEAD_BYTE;
        if (phase == Phase.IDLE) {
            setPhase(Phase.HEAD, nowMillis);
            holding.stopWaiting();
            holding.startWaiting(nowMillis);
            isFirstLine = true;
            cost += REQUEST_BYTES;
        }
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (b == '\n') {
                isFirstLine = false;
                cost += LINE_BYTES;
            } else if (isFirstLine && (b == '&' || b == ';' || b == ',')) {
                cost += LINE_BYTES;
            }
        }
        hold(cost, nowMillis);
    }

    private void framingReceived(int count, long nowMillis) throws IOException {
        framingBytes += count;
        if (framingBytes > MAX_FRAMING_BYTES) {
            throw new IOException("more than " + MAX_FRAMING_BYTES + " bytes of a body without content");
        }
        long charged = Math.min(count, framingBytes - FREE_FRAMING_BYTES);
        if (charged > 0) {
            hold(charged * BYTES_PER_FRAMING_BYTE, nowMillis);
        }
    }

    private void clearFraming() {
        if (framingBytes > FREE_FRAMING_BYTES) {
            free((framingBytes - FREE_FRAMING_BYTES) * BYTES_PER_FRAMING_BYTE);
        }
        framingBytes = 0;
    }

    private void setPhase(Phase started, long nowMillis) {
        phase = started;
        phaseSinceMillis = nowMillis;
    }

    /** What the connection is used for. */
    enum Phase {
        /** No byte of a request has arrived. */
        IDLE,
        /** The head of a request is read. */
        HEAD,
        /** The body of a request is read. */
        BODY,
        /** The request was refused before its body was read. */
        DISCARD,
        /** The request was read; its response has not been written completely. */
        SERVED
    }
}
