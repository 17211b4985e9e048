package io.hornbeamscale.daemon;

import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.hedge.HedgePolicy;
import io.hornbeamscale.core.limit.ColdLimits;
import io.hornbeamscale.gateway.Gateway;
import io.hornbeamscale.gateway.GatewaySettings;
import io.hornbeamscale.gateway.ProcessLimits;
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
 * Starts a gateway on the loopback address, sends it requests and exits. The build runs it to create the archive for
 * class data sharing; loading classes from the archive halves the time until a restarted process is ready.
 */
final class CdsTrainingRun {
    private static final long RUN_MILLIS = 800;
    private static final int EXIT_FAILED = 1;
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: rehearsal\r\nConnection: close\r\n\r\n";

    private CdsTrainingRun() {}

    static int run() {
        try {
            Endpoint callers = freeEndpoint();
            Endpoint readiness = freeEndpoint();
            GatewaySettings settings = new GatewaySettings(
                    "rehearsal",
                    callers.ip(),
                    "zone",
                    Map.of("zone", "region"),
                    Optional.of(callers),
                    Optional.of(readiness),
                    freeEndpoint().port(),
                    freeEndpoint().port(),
                    freeEndpoint(),
                    ProcessLimits.clients(),
                    1_000,
                    1_000,
                    0.1,
                    1_000,
                    1,
                    ColdLimits.DEFAULT,
                    HedgePolicy.OFF);
            Gateway gateway = new Gateway(
                    settings,
                    new PlatformExchangeCodec(),
                    new PlatformStoreSchema(),
                    PlatformMetadataStore::new,
                    new SplittableRandom(1));
            gateway.start();
            sendRequest(callers);
            sendRequest(readiness);
            Thread.sleep(RUN_MILLIS);
            gateway.close();
            // The JVM writes the archive only at a regular exit.
            System.exit(0);
            return 0;
        } catch (IOException | InterruptedException e) {
            LogManager.getLogger("process").error("The training run for class data sharing failed.", e);
            return EXIT_FAILED;
        }
    }

    private static void sendRequest(Endpoint server) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.UTF_8));
            socket.getInputStream().readAllBytes();
        }
    }

    private static Endpoint freeEndpoint() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Endpoint(socket.getInetAddress().getHostAddress(), socket.getLocalPort());
        }
    }
}
