package io.hornbeamscale.daemon;

import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.gateway.Gateway;
import io.hornbeamscale.gateway.GatewaySettings;
import io.hornbeamscale.platform.PlatformExchangeCodec;
import io.hornbeamscale.platform.PlatformMetadataStore;
import io.hornbeamscale.platform.PlatformStoreSchema;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.apache.logging.log4j.LogManager;

/**
 * Starts a gateway on the loopback address, sends it a request and ends. The build runs it to record the classes that a
 * start needs; loading them from the record halves the time until a restarted process is ready.
 */
final class Rehearsal {
    private static final long SETTLE_MILLIS = 800;
    private static final int FAILED = 1;
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: rehearsal\r\nConnection: close\r\n\r\n";

    private Rehearsal() {}

    static int run() {
        try {
            Endpoint callers = free();
            Endpoint readiness = free();
            GatewaySettings settings = new GatewaySettings(
                    "rehearsal",
                    callers.ip(),
                    "zone",
                    Map.of("zone", "region"),
                    Optional.of(callers),
                    Optional.of(readiness),
                    free().port(),
                    free().port(),
                    free(),
                    1_000,
                    1_000,
                    0.1,
                    1_000,
                    1);
            Gateway gateway = new Gateway(
                    settings,
                    new PlatformExchangeCodec(),
                    new PlatformStoreSchema(),
                    PlatformMetadataStore::new,
                    new SplittableRandom(1));
            gateway.start();
            ask(callers);
            ask(readiness);
            Thread.sleep(SETTLE_MILLIS);
            gateway.close();
            // The record is written when the JVM ends in the ordinary way.
            System.exit(0);
            return 0;
        } catch (IOException | InterruptedException e) {
            LogManager.getLogger("process").error("The rehearsal failed.", e);
            return FAILED;
        }
    }

    private static void ask(Endpoint to) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), to.port())) {
            socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.UTF_8));
            socket.getInputStream().readAllBytes();
        }
    }

    private static Endpoint free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Endpoint(socket.getInetAddress().getHostAddress(), socket.getLocalPort());
        }
    }
}
