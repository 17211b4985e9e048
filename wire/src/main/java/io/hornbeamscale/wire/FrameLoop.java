package io.hornbeamscale.wire;

import io.hornbeamscale.core.util.Arguments;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** An event loop: one thread that reads and writes the frames of all connections of a process. */
public final class FrameLoop implements AutoCloseable {
    /** The greatest number of bytes queued for one connection. */
    public static final long MAX_QUEUED_BYTES = 16L << 20;

    private static final Logger LOG = LogManager.getLogger(FrameLoop.class);

    private final Selector selector;
    private final Thread thread;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Set<FrameConnection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicLong badFrames = new AtomicLong();
    private final AtomicLong unknownTypes = new AtomicLong();
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();
    private volatile boolean isClosed;

    /**
     * Starts the loop.
     *
     * @param name the name of the thread, not null
     */
    public FrameLoop(String name) {
        Arguments.notNull(name, "name");
        try {
            selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Accepts connections.
     *
     * @param address the address to listen on, not null; port 0 selects a free port
     * @param listeners creates the listener of each accepted connection, not null
     * @return the address with its port, never null
     */
    public InetSocketAddress listen(InetSocketAddress address, Supplier<FrameListener> listeners) {
        Arguments.notNull(address, "address");
        Arguments.notNull(listeners, "listeners");
        try {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(address, 1024);
            server.configureBlocking(false);
            execute(() -> register(server, listeners));
            return (InetSocketAddress) server.getLocalAddress();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    /**
     * Connects to a peer. Messages sent before the connection is established wait in its queue.
     *
     * @param address the address of the peer, not null
     * @param listener receives the events of the connection, not null
     * @return the connection, never null
     */
    public FrameConnection connect(InetSocketAddress address, FrameListener listener) {
        Arguments.notNull(address, "address");
        Arguments.notNull(listener, "listener");
        try {
            SocketChannel channel = SocketChannel.open();
            FrameConnection connection = new FrameConnection(this, channel, listener, MAX_QUEUED_BYTES);
            connections.add(connection);
            execute(() -> startConnecting(channel, connection, address));
            return connection;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns how many connections were closed because of a malformed frame.
     *
     * @return the number of connections
     */
    public long badFrames() {
        return badFrames.get();
    }

    /**
     * Returns how many messages of an unknown type were ignored.
     *
     * @return the number of messages
     */
    public long unknownTypes() {
        return unknownTypes.get();
    }

    /**
     * Returns how many bytes of frames were sent on all connections.
     *
     * @return the number of bytes since the start
     */
    public long sentBytes() {
        return sentBytes.get();
    }

    /**
     * Returns how many bytes of frames were received on all connections.
     *
     * @return the number of bytes since the start
     */
    public long receivedBytes() {
        return receivedBytes.get();
    }

    @Override
    public void close() {
        isClosed = true;
        selector.wakeup();
        try {
            thread.join(1000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    void wakeup() {
        if (Thread.currentThread() != thread) {
            selector.wakeup();
        }
    }

    void remove(FrameConnection connection) {
        connections.remove(connection);
    }

    void countSent(long bytes) {
        sentBytes.addAndGet(bytes);
    }

    void countReceived(long bytes) {
        receivedBytes.addAndGet(bytes);
    }

    void countBadFrame() {
        badFrames.incrementAndGet();
    }

    void countUnknownType() {
        unknownTypes.incrementAndGet();
    }

    void logCloseFailure(IOException e) {
        LOG.debug("closing a connection failed", e);
    }

    private void run() {
        while (!isClosed) {
            try {
                selector.select(this::ready);
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
            } catch (IOException | RuntimeException | StackOverflowError e) {
                LOG.error("an event of the frame loop failed; the loop continues", e);
            }
        }
        for (FrameConnection connection : Set.copyOf(connections)) {
            connection.end("the process stops");
        }
        closeSelector();
    }

    private void closeSelector() {
        try {
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException | ClosedSelectorException e) {
            LOG.debug("closing the selector failed", e);
        }
    }

    private void ready(SelectionKey key) {
        if (!key.isValid()) {
            return;
        }
        if (key.attachment() instanceof FrameConnection connection) {
            ready(key, connection);
        } else {
            accept(key);
        }
    }

    private void ready(SelectionKey key, FrameConnection connection) {
        try {
            if (key.isConnectable()) {
                finishConnect(key, connection);
                return;
            }
            if (key.isReadable()) {
                connection.readable();
            }
            if (key.isValid() && key.isWritable()) {
                connection.writable();
            }
        } catch (IOException e) {
            connection.end("cannot connect: " + e.getMessage());
        } catch (RuntimeException | StackOverflowError e) {
            LOG.error("a listener failed; its connection is closed", e);
            connection.end("internal error: " + e);
        }
    }

    private static void finishConnect(SelectionKey key, FrameConnection connection) throws IOException {
        ((SocketChannel) key.channel()).finishConnect();
        key.interestOps(SelectionKey.OP_READ);
        connection.established(key);
    }

    private void startConnecting(SocketChannel channel, FrameConnection connection, InetSocketAddress address) {
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            SelectionKey key = channel.register(selector, SelectionKey.OP_CONNECT, connection);
            if (channel.connect(address)) {
                finishConnect(key, connection);
            }
        } catch (IOException | RuntimeException e) {
            connection.end("cannot connect to " + address + ": " + e.getMessage());
        }
    }

    private void register(ServerSocketChannel server, Supplier<FrameListener> listeners) {
        try {
            server.register(selector, SelectionKey.OP_ACCEPT, listeners);
        } catch (IOException e) {
            LOG.error("cannot accept connections", e);
        }
    }

    private void accept(SelectionKey key) {
        try {
            SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
            if (channel == null) {
                return;
            }
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            FrameListener listener = (FrameListener) ((Supplier<?>) key.attachment()).get();
            FrameConnection connection = new FrameConnection(this, channel, listener, MAX_QUEUED_BYTES);
            connections.add(connection);
            SelectionKey connectionKey = channel.register(selector, SelectionKey.OP_READ, connection);
            connection.established(connectionKey);
        } catch (IOException e) {
            LOG.warn("accepting a connection failed: {}", e.getMessage());
        }
    }
}
