package io.hornbeamscale.daemon;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.platform.PlatformStoreStandIn;
import io.hornbeamscale.platform.ScriptedBackend;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a gateway that keeps something of each request until the caller's connection closes. It ran out of
 * memory after some thousand requests on kept connections and answered nothing any more.
 */
class GatewayMemoryTest {
    private static final int REQUESTS = 5_000;

    /** All bodies together are twice as large as the heap of the process, which is 128 MB. */
    private static final int BODY_BYTES = 50_000;

    @TempDir
    private Path directory;

    @Test
    void servesManyRequestsOnOneConnection() throws IOException, InterruptedException {
        byte[] request = request();
        DaemonProcesses processes = new DaemonProcesses(directory);
        try (PlatformStoreStandIn store = new PlatformStoreStandIn();
                ScriptedBackend backend = new ScriptedBackend((received, out, connection) ->
                        ScriptedBackend.write(out, ScriptedBackend.ok(received, "ok")))) {
            GatewayProcess gateway = new GatewayProcess(processes, store);
            gateway.register("shop-1", "shop", backend);
            gateway.start();
            try (Socket socket = new Socket(
                    InetAddress.getLoopbackAddress(), gateway.callerAddress().port())) {
                socket.setSoTimeout(10_000);
                for (int i = 0; i < REQUESTS; i++) {
                    socket.getOutputStream().write(request);
                    HttpResponseReader response = HttpResponseReader.read(socket.getInputStream());
                    assertEquals(200, response.status(), "request " + i);
                    assertTrue(response.isKeptOpen(), "request " + i);
                }
            }
        } finally {
            processes.close();
        }
    }

    private static byte[] request() {
        String head = "POST /book/ HTTP/1.1\r\nHost: shop.example\r\nX-Hornbeamscale-Request-Id: r\r\n"
                + "X-Hornbeamscale-Deadline-Ms: 1500\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
        return (head + "x".repeat(BODY_BYTES)).getBytes(ISO_8859_1);
    }
}
