package io.hornbeamscale.daemon;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.platform.PlatformStoreStandIn;
import io.hornbeamscale.platform.ScriptedBackend;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a gateway that runs out of memory, with the requests of all callers, because a faulty server answers
 * many requests at once with bytes that never end.
 */
class EndlessResponseProcessTest {
    /** All responses together are larger than the heap of the process, which is 128 MB. */
    private static final int REQUESTS = 320;

    /** Just below the size from which on a single response is refused. */
    private static final int BODY_BYTES = 600_000;

    private static final int OTHER_REQUESTS = 20;
    private static final int WARM_UP_REQUESTS = 200;
    private static final long OTHER_INTERVAL_MILLIS = 60;
    private static final int FAULTY_SERVERS = 8;

    /** Without a length, so that the body ends with the connection. */
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nX-Hornbeamscale-Request-Id: r\r\nX-Hornbeamscale-Server-Stamp: s\r\n\r\n";

    @TempDir
    private Path directory;

    private final byte[] chunk = "x".repeat(BODY_BYTES).getBytes(ISO_8859_1);

    @Test
    void leavesTheRequestsOfOthersUnaffected() throws Exception {
        DaemonProcesses processes = new DaemonProcesses(directory);
        ExecutorService callers = Executors.newFixedThreadPool(REQUESTS);
        List<ScriptedBackend> faulty = new ArrayList<>();
        try (PlatformStoreStandIn store = new PlatformStoreStandIn();
                ScriptedBackend sound = new ScriptedBackend((received, out, connection) -> ScriptedBackend.write(
                        out, ScriptedBackend.streamHead(received) + ScriptedBackend.event(1) + "0\r\n\r\n"))) {
            GatewayProcess gateway = new GatewayProcess(processes, store);
            for (int i = 0; i < FAULTY_SERVERS; i++) {
                faulty.add(new ScriptedBackend(this::sendEndlessly));
                gateway.register("shop-" + i, "shop", faulty.get(i));
            }
            gateway.register("tales-1", "tales", sound);
            gateway.start();
            int port = gateway.callerAddress().port();
            // A process that has just started takes over a second of processor time for the burst.
            for (int i = 0; i < WARM_UP_REQUESTS; i++) {
                assertEquals(200, send(port, "/tale/"), "request " + i + " before the burst");
            }
            List<Future<Integer>> affected = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                affected.add(callers.submit(() -> send(port, "/book/")));
            }
            for (int i = 0; i < OTHER_REQUESTS; i++) {
                assertEquals(200, send(port, "/tale/"), "request " + i + " of another caller");
                Thread.sleep(OTHER_INTERVAL_MILLIS);
            }
            for (Future<Integer> each : affected) {
                assertTrue(each.get() >= 500, "status " + each.get());
            }
            assertEquals(200, send(port, "/tale/"));
            assertTrue(gateway.handle().isAlive());
        } finally {
            callers.shutdownNow();
            processes.close();
            for (ScriptedBackend each : faulty) {
                each.close();
            }
        }
    }

    private void sendEndlessly(ScriptedBackend.ReceivedRequest received, OutputStream out, Socket connection)
            throws IOException {
        ScriptedBackend.write(out, HEAD);
        out.write(chunk);
        connection.getInputStream().read();
    }

    /** Returns the status of the response, 0 if there is none. */
    private static int send(int port, String path) throws IOException {
        String request = "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Hornbeamscale-Request-Id: r\r\n"
                + "X-Hornbeamscale-Deadline-Ms: 1500\r\nX-Hornbeamscale-Token-Usage: 30,12\r\n"
                + "Content-Length: 1\r\n\r\nb";
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(request.getBytes(ISO_8859_1));
            byte[] head = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
            return head.length == 0 ? 0 : Integer.parseInt(new String(head, ISO_8859_1).substring(9));
        }
    }
}
