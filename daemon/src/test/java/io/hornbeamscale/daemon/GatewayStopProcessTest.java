package io.hornbeamscale.daemon;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.platform.PlatformStoreStandIn;
import io.hornbeamscale.platform.ScriptedBackend;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
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
    private static final String DOCUMENT = """
            {"version":1,"routes":[
             {"name":"book","host":"shop.example","prefix":"/book/","routeType":"non_idempotent","timeoutMs":1500,
              "targetLatencyMs":300,"priority":2,"service":"shop","attempts":1,"public":true},
             {"name":"tale","host":"shop.example","prefix":"/tale/","routeType":"streaming","timeoutMs":6000,
              "targetLatencyMs":1500,"priority":1,"service":"tales","attempts":1,"public":true,"gapTargetMs":180}],
             "services":[{"name":"shop","healthPath":"/health","maxConnections":100},
              {"name":"tales","healthPath":"/health","maxConnections":100,"engine":{"slots":24,"kvCapacity":34377,
               "kvTokenBytes":163840,"linkMbps":24000.0,"moves":true,"backups":false,"stride":4}}],
             "limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
             "tenants":[]}""";
    private static final String DEFAULT_SEEDS = "1-2";
    private static final int GRACE_SECONDS = 8;
    private static final int CALLERS = 24;
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
    private Endpoint callerAddress;

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
        store.put("op/config", DOCUMENT);
        processes = new DaemonProcesses(directory);
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
        register("shop-1", "shop", (request, out, connection) -> book(record, request, out));
        register("tales-1", "tales", (request, out, connection) -> tell(record, request, out));
        startGateway();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Thread caller =
                    new Thread(new PersistentCaller("c" + i, callerAddress, random.nextLong(), record), "caller-" + i);
            caller.start();
            callers.add(caller);
        }
        Thread.sleep(500 + random.nextInt(MAX_STOP_DELAY_MILLIS));
        processes.terminate("gateway");
        assertEquals(0, processes.await("gateway"));
        for (Thread caller : callers) {
            caller.join(TimeUnit.SECONDS.toMillis(GRACE_SECONDS));
        }
        assertTrue(record.answered() > 0, "no request was answered");
        assertEquals(List.of(), record.lost(), "seed " + seed);
    }

    private void startGateway() throws IOException, InterruptedException {
        callerAddress = new Endpoint("127.0.0.1", TestSettings.freePort());
        Endpoint readiness = new Endpoint("127.0.0.1", TestSettings.freePort());
        String settings = "{\"nodeName\":\"edge-1\",\"role\":\"gateway\",\"ip\":\"127.0.0.1\",\"zone\":\"z1\","
                + "\"region\":\"r1\",\"zones\":{\"z1\":\"r1\"},\"listen\":{\"front\":\"" + callerAddress
                + "\",\"readiness\":\"" + readiness + "\"},\"internalPorts\":[" + TestSettings.freePort() + ","
                + TestSettings.freePort() + "],\"bounds\":{\"drainMs\":3000,\"graceS\":" + GRACE_SECONDS
                + ",\"retryBudget\":0.2,\"budgetWindowS\":10,\"retrySlack\":54},\"platform\":{\"address\":\""
                + store.endpoint() + "\"}}";
        Files.createDirectories(directory);
        processes.start("gateway", "gateway", settings);
        Await.until("the gateway is ready", () -> isReady(readiness));
    }

    private static boolean isReady(Endpoint address) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), address.port())) {
            socket.getOutputStream()
                    .write("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes(UTF_8));
            return new String(socket.getInputStream().readAllBytes(), UTF_8).startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    private void register(String id, String service, ScriptedBackend.Script script) throws IOException {
        ScriptedBackend backend = new ScriptedBackend(script);
        backends.add(backend);
        store.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\"" + backend.endpoint()
                        + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":24,\"state\":\"ready\","
                        + "\"coldRemainingMs\":0,\"seq\":1,\"born\":1}");
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
