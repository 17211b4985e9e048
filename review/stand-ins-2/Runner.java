import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A runner of a plain service: one process slot set, echoing ids, registering itself in the store. */
final class Runner {
    /** A request that ran. */
    record Run(long atMs, String id, String target, String tenant) {}

    final Store store;
    final String id;
    final String service;
    final String zone;
    final Http.Server server;
    final List<Run> runs = new ArrayList<>();
    volatile long born;
    volatile long sequence;
    volatile String state = "ready";
    volatile boolean isBeating;
    volatile long workMs = 5;

    Runner(Store store, String id, String service, String zone, String ip, int port, long born) throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.born = born;
        this.server = new Http.Server(ip, port, this::handle);
    }

    /** Starts the status reports, every 1,200 ms. */
    void beat() {
        isBeating = true;
        Thread t = new Thread(
                () -> {
                    while (isBeating) {
                        report();
                        Store.sleep(1_200);
                    }
                },
                "beat");
        t.setDaemon(true);
        t.start();
    }

    /** Writes the entry now. Returns when the store has accepted it. */
    synchronized void report() {
        sequence++;
        store.put(
                "servers/" + id,
                Store.JSON
                        .createObjectNode()
                        .put("service", service)
                        .put("address", server.address())
                        .put("zone", zone)
                        .put("version", "1")
                        .put("slots", 6)
                        .put("state", state)
                        .put("coldRemainingMs", 0)
                        .put("seq", sequence)
                        .put("born", born)
                        .toString());
    }

    /** Ends at once, without a word, as a crash does. */
    void crash() throws IOException {
        isBeating = false;
        server.close();
        Record.line("runner %s ends (crash)", id);
    }

    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    private boolean handle(Http.Message request, Http.Connection c) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        if (request.path().equals("/health")) {
            headers.put("X-Hornbeamscale-Instance-Id", id);
            headers.put("X-Hornbeamscale-Server-Load", "0,0,6");
            c.respond(state.equals("ready") ? 200 : 503, headers, new byte[0]);
            return true;
        }
        String requestId = request.header("X-Hornbeamscale-Request-Id");
        if (requestId != null) {
            headers.put("X-Hornbeamscale-Request-Id", requestId);
        }
        String expected = request.header("X-Hornbeamscale-Expect-Instance");
        if (requestId == null || (expected != null && !expected.equals(id))) {
            headers.put("X-Hornbeamscale-Not-Run", "1");
            c.respond(requestId == null ? 400 : 421, headers, new byte[0]);
            return true;
        }
        synchronized (this) {
            runs.add(new Run(Store.now(), requestId, request.target(), request.header("X-Hornbeamscale-Tenant")));
        }
        Record.line("runner %s runs %s %s", id, requestId, request.target());
        Store.sleep(workMs);
        headers.put("X-Hornbeamscale-Server-Stamp", "stamp." + id + "." + requestId);
        headers.put("X-Hornbeamscale-Server-Load", "1,0,6");
        c.respond(200, headers, ("answer of " + id + " to " + requestId).getBytes(StandardCharsets.UTF_8));
        return true;
    }
}
