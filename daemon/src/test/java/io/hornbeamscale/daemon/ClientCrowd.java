package io.hornbeamscale.daemon;

import io.hornbeamscale.core.fleet.Endpoint;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/** Clients that each send some bytes of a request and keep their connection open without sending the rest. */
final class ClientCrowd implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    /** How many clients send at once; none needs another one to finish. */
    private static final int SENDERS = 200;

    /** The crowd is complete if none of its clients could send anything for so long, in milliseconds. */
    private static final long SETTLE_MILLIS = 1_000;

    private final Endpoint to;
    private final ConcurrentLinkedQueue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private final AtomicLong progress = new AtomicLong();
    private final AtomicLong pending = new AtomicLong();
    private final ExecutorService senders = Executors.newFixedThreadPool(SENDERS, task -> {
        Thread thread = new Thread(task, "crowd");
        thread.setDaemon(true);
        return thread;
    });

    ClientCrowd(Endpoint to) {
        this.to = to;
    }

    /** Adds clients that send the pieces one after the other. */
    void add(int clients, List<byte[]> pieces) {
        pending.addAndGet(clients);
        for (int i = 0; i < clients; i++) {
            senders.execute(() -> {
                send(pieces);
                pending.decrementAndGet();
            });
        }
    }

    /** Waits until each client has sent its bytes, was refused, or cannot send as the other side does not read. */
    void awaitSettled() throws InterruptedException {
        long last = -1;
        while (pending.get() > 0 && progress.get() != last) {
            last = progress.get();
            Thread.sleep(SETTLE_MILLIS);
        }
    }

    @Override
    public void close() throws IOException {
        senders.shutdownNow();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void send(List<byte[]> pieces) {
        try {
            Socket socket = new Socket();
            sockets.add(socket);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), to.port()), CONNECT_TIMEOUT_MILLIS);
            OutputStream out = socket.getOutputStream();
            for (byte[] piece : pieces) {
                out.write(piece);
                progress.addAndGet(piece.length);
            }
        } catch (IOException e) {
            // The gateway refused or closed the connection, which it may.
            progress.incrementAndGet();
        }
    }
}
