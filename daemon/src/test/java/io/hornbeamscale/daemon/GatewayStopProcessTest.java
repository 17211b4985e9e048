package io.hornbeamscale.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.platform.PlatformStoreStandIn;
import io.hornbeamscale.platform.ScriptedBackend;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against requests that a stopping gateway reads and does not answer, with the real program and callers that use
 * their open connections until the process is gone.
 *
 * <p>{@code -Dgateway.stop.seeds=FROM-TO} plays other seeds.
 */
class GatewayStopProcessTest {
    private static final String DEFAULT_SEEDS = "1-2";
    private static final int CALLERS = 24;
    private static final long CALLER_END_MILLIS = 8_000;
    private static final int MAX_STOP_DELAY_MILLIS = 1_500;
    private static final int SHOP_MILLIS = 60;
    private static final int SLOW_SHOP_MILLIS = 900;
    private static final int EVENT_MILLIS = 250;
    private static final int EVENTS = 3;

    @TempDir
    private Path directory;

    private final List<ScriptedBackend> backends = new ArrayList<>();
    private PlatformStoreStandIn store;
    private DaemonProcesses processes;
    private GatewayProcess gateway;

    static List<Long> seeds() {
        String[] range = System.getProperty("gateway.stop.seeds", DEFAULT_SEEDS).split("-", -1);
        List<Long> seeds = new ArrayList<>();
        for (long seed = Long.parseLong(range[0]); seed <= Long.parseLong(range[range.length - 1]); seed++) {
            seeds.add(seed);
        }
        return seeds;
    }

    @BeforeEach
    void start() throws IOException {
        store = new PlatformStoreStandIn();
        processes = new DaemonProcesses(directory);
        gateway = new GatewayProcess(processes, store);
    }

    @AfterEach
    void stop() throws IOException, InterruptedException {
        processes.close();
        for (ScriptedBackend backend : backends) {
            backend.close();
        }
        store.close();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void everyRequestThatIsReadGetsAResponse(long seed) throws Exception {
        Random random = new Random(seed);
        RequestRecord record = new RequestRecord();
        startBackend("shop-1", "shop", (request, out, connection) -> book(record, request, out));
        startBackend("tales-1", "tales", (request, out, connection) -> tell(record, request, out));
        gateway.start();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Thread caller = new Thread(
                    new PersistentCaller("c" + i, gateway.callerAddress(), random.nextLong(), record), "caller-" + i);
            caller.start();
            callers.add(caller);
        }
        Thread.sleep(500 + random.nextInt(MAX_STOP_DELAY_MILLIS));
        assertEquals(0, gateway.stop());
        for (Thread caller : callers) {
            caller.join(CALLER_END_MILLIS);
        }
        assertTrue(record.answered() > 0, "no request was answered");
        assertEquals(List.of(), record.lost(), "seed " + seed);
    }

    private void startBackend(String id, String service, ScriptedBackend.Script script) throws IOException {
        ScriptedBackend backend = new ScriptedBackend(script);
        backends.add(backend);
        gateway.register(id, service, backend);
    }

    private static void book(RequestRecord record, ScriptedBackend.ReceivedRequest request, OutputStream out) {
        String id = request.header("x-hornbeamscale-request-id");
        record.reached(id);
        // One request in eight takes longer than its latency target.
        pause(id.hashCode() % 8 == 0 ? SLOW_SHOP_MILLIS : Math.floorMod(id.hashCode(), SHOP_MILLIS));
        ScriptedBackend.write(out, ScriptedBackend.ok(request, "booked"));
    }

    private static void tell(RequestRecord record, ScriptedBackend.ReceivedRequest request, OutputStream out) {
        record.reached(request.header("x-hornbeamscale-request-id"));
        ScriptedBackend.write(out, ScriptedBackend.streamHead(request));
        for (int i = 1; i <= EVENTS; i++) {
            pause(EVENT_MILLIS);
            ScriptedBackend.write(out, ScriptedBackend.event(i));
        }
        ScriptedBackend.write(out, "0\r\n\r\n");
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
