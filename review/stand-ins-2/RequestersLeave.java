import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Requesters leave before their time budget: they close their connections while a runner works for them. */
public final class RequestersLeave {
    private static final long STABLE_WINDOW_MS = 5_000;

    /** The time after which the runner must have stopped (GONE). */
    private static final long BOUND_MS = 500;

    /** Half the latency target of the route, as give_up has it. */
    private static final long PATIENCE_MS = 900;

    private static final int STREAMS = 12;

    public static void main(String[] args) {
        Setup.main(args, RequestersLeave::run);
    }

    private static int run(Setup setup) throws Exception {
        setup.bounds = Setup.GROWN_BOUNDS;
        setup.store.put(
                "op/config",
                new Manifest(3)
                        .engine("narratore")
                        .tenant("t1", "key-1")
                        .route("album-story", "/tale/", "streaming", "narratore", 39_000, 1)
                        .toString());
        for (int i = 1; i <= 3; i++) {
            new Engine(setup.store, "i-" + i, "narratore", "z1", true);
        }
        setup.gateway("z1");
        setup.gateway("z2");
        setup.startGateways();
        Store.sleep(2 * STABLE_WINDOW_MS);

        Map<String, Long> leftAt = new ConcurrentHashMap<>();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            Gateway gateway = setup.gateways.get(i % 2);
            int n = i;
            Thread caller = new Thread(() -> stream(setup, gateway, n, leftAt));
            caller.start();
            callers.add(caller);
            Store.sleep(300);
        }
        for (Thread each : callers) {
            each.join();
        }
        Store.sleep(2 * BOUND_MS);
        int left = 0;
        int atWork = 0;
        for (Engine.Run run : Engine.runs()) {
            Long at = leftAt.get(run.requestId);
            if (at == null) {
                continue;
            }
            left++;
            if (run.isWorkingAt(at + BOUND_MS)) {
                atWork++;
                Record.line("engine %s still worked on %s %d ms after its requester had left", run.engine, run.requestId, BOUND_MS);
            }
        }
        Record.line("runs whose requester left: %d, still at work %d ms later: %d", left, BOUND_MS, atWork);
        if (setup.hasTrouble && left < STREAMS / 2) {
            return Setup.NOT_RUN;
        }
        return 4 * atWork > left ? Setup.BROKEN : Setup.HELD;
    }

    private static void stream(Setup setup, Gateway gateway, int n, Map<String, Long> leftAt) {
        Map<String, String> headers = new LinkedHashMap<>();
        String id = Caller.id();
        headers.put("Host", "case.example");
        headers.put("X-Hornbeamscale-Request-Id", id);
        headers.put("X-Hornbeamscale-Deadline-Ms", "39000");
        headers.put("X-Api-Key", "key-1");
        headers.put("X-Hornbeamscale-Model", "m");
        headers.put("X-Hornbeamscale-Token-Usage", "3000,480");
        headers.put("X-Hornbeamscale-Prompt-Prefix", "5c1e07a2:79,91bd3f" + (10 + n) + ":2921");
        Record.line("caller sends %s to %s", id, gateway.name);
        if (!setup.hasTrouble) {
            Http.Message answer = Http.call(gateway.front, "POST", "/tale/x", headers, "a prompt".getBytes(), 20_000);
            Record.line("caller of %s: %s", id, answer == null ? "no complete answer" : answer.status());
            return;
        }
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(gateway.ip, gateway.frontPort), 1_000);
            Http.send(socket.getOutputStream(), "POST", "/tale/x", headers, "a prompt".getBytes());
            Store.sleep(PATIENCE_MS);
        } catch (IOException e) {
            Record.line("caller of %s: %s", id, e);
            return;
        }
        leftAt.put(id, Store.now());
        Record.line("caller of %s has closed its connection", id);
    }
}
