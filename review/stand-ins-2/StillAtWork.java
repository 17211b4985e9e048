import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Streams leave a runner that drains; unlike the others, it does not drop a request when its connection closes. */
public final class StillAtWork {
    private static final long STABLE_WINDOW_MS = 4_000;

    /** The time after which the runner before must have stopped (TWICE). */
    private static final long BOUND_MS = 400;

    private static final int STREAMS = 6;

    public static void main(String[] args) {
        Setup.main(args, StillAtWork::run);
    }

    private static int run(Setup setup) throws Exception {
        setup.store.put(
                "op/config",
                new Manifest(3)
                        .engine("storyteller")
                        .tenant("t1", "key-1")
                        .route("legend-narration", "/tale/", "streaming", "storyteller", 39_000, 1)
                        .toString());
        List<Engine> engines = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            engines.add(new Engine(setup.store, "i-" + i, "storyteller", "z1", i != 1));
        }
        setup.gateway("z1");
        setup.gateway("z2");
        setup.startGateways();
        Store.sleep(STABLE_WINDOW_MS);

        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            Gateway gateway = setup.gateways.get(i % 2);
            int n = i;
            Thread caller = new Thread(() -> stream(gateway, n));
            caller.start();
            callers.add(caller);
            Store.sleep(100);
        }
        Store.sleep(2_000);
        Engine leaving = engines.get(0);
        Record.line("%s, which does not drop requests, runs %d streams", leaving.id, count(leaving));
        if (count(leaving) == 0) {
            return Setup.NOT_RUN;
        }
        if (setup.hasTrouble) {
            leaving.state = "draining";
            leaving.report();
            Record.line("the store has accepted that %s is draining", leaving.id);
        }
        for (Thread each : callers) {
            each.join();
        }
        int broken = 0;
        for (Engine.Run later : Engine.runs()) {
            for (Engine.Run earlier : Engine.runs()) {
                boolean isSame = later.requestId.equals(earlier.requestId) && later.startedAtMs > earlier.startedAtMs;
                if (isSame && earlier.isWorkingAt(later.startedAtMs + BOUND_MS)) {
                    broken++;
                    Record.line(
                            "request %s went on at %s while %s worked on it for %d ms more",
                            later.requestId,
                            later.engine,
                            earlier.engine,
                            (earlier.endedAtMs == 0 ? Store.now() : earlier.endedAtMs) - later.startedAtMs);
                }
            }
        }
        Record.line("requests at work at two runners for over %d ms: %d", BOUND_MS, broken);
        return broken > 0 ? Setup.BROKEN : Setup.HELD;
    }

    private static long count(Engine engine) {
        return Engine.runs().stream()
                .filter(r -> r.engine.equals(engine.id) && r.endedAtMs == 0)
                .count();
    }

    private static void stream(Gateway gateway, int n) {
        Map<String, String> headers = new LinkedHashMap<>();
        String id = Caller.id();
        headers.put("Host", "case.example");
        headers.put("X-Hornbeamscale-Request-Id", id);
        headers.put("X-Hornbeamscale-Deadline-Ms", "39000");
        headers.put("X-Api-Key", "key-1");
        headers.put("X-Hornbeamscale-Model", "m");
        headers.put("X-Hornbeamscale-Token-Usage", "3000,480");
        headers.put("X-Hornbeamscale-Prompt-Prefix", "5c1e07a2:79,91bd3f0" + n + ":2921");
        Record.line("caller sends %s to %s", id, gateway.name);
        Http.Message answer = Http.call(gateway.front, "POST", "/tale/x", headers, "a prompt".getBytes(), 20_000);
        Record.line(
                "caller of %s: %s",
                id, answer == null ? "no complete answer" : answer.status() + ", " + answer.text().split("id:").length);
    }
}
