package io.hornbeamscale.daemon;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.hornbeamscale.core.fleet.Endpoint;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Random;

/**
 * A caller that sends one request after the other and uses its connection for as long as the gateway keeps it open,
 * until the gateway accepts no connection any more. Its pauses are short or several seconds long.
 */
final class PersistentCaller implements Runnable {
    private static final int SHORT_PAUSE_MILLIS = 120;
    private static final int LONG_PAUSE_MILLIS = 7_500;
    private static final int RESPONSE_TIMEOUT_MILLIS = 10_000;

    private final String name;
    private final Endpoint address;
    private final Random random;
    private final RequestRecord record;
    private int sent;

    PersistentCaller(String name, Endpoint address, long seed, RequestRecord record) {
        this.name = name;
        this.address = address;
        this.random = new Random(seed);
        this.record = record;
    }

    @Override
    public void run() {
        boolean isConnected = true;
        while (isConnected) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), address.port())) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
                useConnection(socket);
            } catch (IOException e) {
                isConnected = false;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void useConnection(Socket socket) throws InterruptedException {
        boolean isOpen = true;
        while (isOpen) {
            Thread.sleep(random.nextInt(random.nextInt(10) == 0 ? LONG_PAUSE_MILLIS : SHORT_PAUSE_MILLIS));
            String id = name + "-" + sent++;
            try {
                send(socket.getOutputStream(), id);
            } catch (IOException e) {
                // The gateway closed the idle connection, so it has not read the request.
                return;
            }
            long sentAtNanos = System.nanoTime();
            try {
                isOpen = HttpResponseReader.read(socket.getInputStream()).isKeptOpen();
                record.completed();
            } catch (IOException e) {
                record.unanswered(id, sentAtNanos, String.valueOf(e.getMessage()));
                return;
            }
        }
    }

    /**
     * Sends a booking or a stream, with a length or in chunks, in one piece or with a pause before the end of the
     * body.
     */
    private void send(OutputStream out, String id) throws IOException, InterruptedException {
        boolean isStream = random.nextInt(6) == 0;
        boolean isChunked = random.nextBoolean();
        String head = "POST " + (isStream ? "/tale/" : "/book/") + " HTTP/1.1\r\nHost: shop.example\r\n"
                + "X-Hornbeamscale-Request-Id: " + id + "\r\nX-Hornbeamscale-Deadline-Ms: " + (isStream ? 6_000 : 1_500)
                + "\r\n" + (isStream ? "X-Hornbeamscale-Token-Usage: 300,12\r\n" : "");
        String body = isChunked ? "Transfer-Encoding: chunked\r\n\r\n4\r\nseat\r\n" : "Content-Length: 4\r\n\r\nse";
        String end = isChunked ? "0\r\n\r\n" : "at";
        out.write((head + body).getBytes(ISO_8859_1));
        if (random.nextInt(4) == 0) {
            out.flush();
            Thread.sleep(random.nextInt(40));
        }
        out.write(end.getBytes(ISO_8859_1));
        out.flush();
    }
}
