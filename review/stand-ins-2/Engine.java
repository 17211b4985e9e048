import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A model runner: streams events with increasing ids, copies the memory of a run to another runner and goes on from such
 * a copy. PROTOCOL.md: "Most runners drop a request when its connection closes." This one does or does not.
 */
final class Engine {
    /** One run of a request, from its first event to its end. */
    static final class Run {
        final String engine;
        final String requestId;
        final long firstEvent;
        final long startedAtMs;
        volatile long endedAtMs;
        volatile long lastEvent;
        volatile boolean isStopped;

        Run(String engine, String requestId, long firstEvent) {
            this.engine = engine;
            this.requestId = requestId;
            this.firstEvent = firstEvent;
            this.startedAtMs = Store.now();
        }

        boolean isWorkingAt(long atMs) {
            return startedAtMs <= atMs && (endedAtMs == 0 || endedAtMs > atMs);
        }
    }

    private static final int EVENTS = 120;
    private static final long EVENT_MS = 100;
    private static final long COPY_MS = 60;

    /** The copies of runs that engines hold, as ADDRESS OF THE HOLDER, a space, and what Kv-From names. */
    private static final Set<String> COPIES = ConcurrentHashMap.newKeySet();

    /** All runs of all engines. */
    static final List<Run> RUNS = new ArrayList<>();

    final Store store;
    final String id;
    final String service;
    final String zone;
    final boolean dropsOnClose;
    final Http.Server server;
    final long born = System.currentTimeMillis();
    private final Map<String, Run> running = new HashMap<>();
    private final List<String> handles = new ArrayList<>();
    volatile String state = "ready";
    volatile boolean isBeating = true;
    private long sequence;
    private long nextHandle;

    Engine(Store store, String id, String service, String zone, boolean dropsOnClose) throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.dropsOnClose = dropsOnClose;
        server = new Http.Server("127.0.0.1", 0, this::handle);
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
                        .put("slots", 24)
                        .put("state", state)
                        .put("coldRemainingMs", 0)
                        .put("seq", sequence)
                        .put("born", born)
                        .toString());
    }

    static List<Run> runs() {
        synchronized (RUNS) {
            return List.copyOf(RUNS);
        }
    }

    private boolean handle(Http.Message request, Http.Connection c) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        String path = request.path();
        if (path.equals("/report")) {
            String body = Store.JSON
                    .createObjectNode()
                    .put("stage", "both")
                    .put("state", state)
                    .put("queued", 0)
                    .put("active", running.size())
                    .put("born", born)
                    .toString();
            c.respond(200, headers, body.getBytes(StandardCharsets.UTF_8));
            return true;
        }
        if (path.equals("/kv-move")) {
            return move(request, c);
        }
        if (path.startsWith("/kv-handle/")) {
            c.respond(200, headers, new byte[0]);
            return true;
        }
        String requestId = request.header("X-Hornbeamscale-Request-Id");
        headers.put("X-Hornbeamscale-Request-Id", String.valueOf(requestId));
        if (state.equals("draining")) {
            headers.put("Server-Leaving", "1");
        }
        String expected = request.header("X-Hornbeamscale-Expect-Instance");
        String from = request.header("Kv-From");
        if (requestId == null || (expected != null && !expected.equals(id))) {
            headers.put("X-Hornbeamscale-Not-Run", "1");
            c.respond(requestId == null ? 400 : 421, headers, new byte[0]);
            return true;
        }
        if (from != null && !COPIES.remove(server.address() + " " + from)) {
            headers.put("X-Hornbeamscale-Not-Run", "1");
            c.respond(503, headers, new byte[0]);
            return true;
        }
        String backup = request.header("X-Hornbeamscale-Kv-Backup");
        if (backup != null) {
            COPIES.add(backup + " " + backup + "/" + requestId);
        }
        String last = request.header("Last-Event-Id");
        return generate(requestId, last == null || from == null ? 1 : Long.parseLong(last) + 1, headers, c);
    }

    private boolean move(Http.Message request, Http.Connection c) throws IOException {
        JsonNode body = Store.JSON.readTree(request.body);
        Run run;
        synchronized (this) {
            run = running.get(body.path("id").asText());
        }
        Store.sleep(COPY_MS);
        if (run == null || run.endedAtMs != 0) {
            c.respond(404, Map.of(), new byte[0]);
            return true;
        }
        if (body.path("last").asBoolean()) {
            run.isStopped = true;
        }
        String handle = id + "-h" + ++nextHandle;
        COPIES.add(body.path("target").asText() + " " + server.address() + "/" + handle);
        Record.line("engine %s has copied %s to %s", id, run.requestId, body.path("target").asText());
        String reply = Store.JSON
                .createObjectNode()
                .put("handle", handle)
                .put("created", run.lastEvent)
                .toString();
        c.respond(200, Map.of("Content-Type", "application/json"), reply.getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private boolean generate(String requestId, long first, Map<String, String> headers, Http.Connection c) {
        Store.sleep(20);
        Run run = new Run(id, requestId, first);
        synchronized (this) {
            running.put(requestId, run);
        }
        synchronized (RUNS) {
            RUNS.add(run);
        }
        Record.line("engine %s runs %s from event %d", id, requestId, first);
        boolean isOpen = true;
        boolean isWhole = false;
        try {
            OutputStream out = c.out;
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
            headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
            head.append("X-Hornbeamscale-Server-Stamp: stamp.").append(id).append("\r\n");
            head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            c.socket.setSoTimeout((int) EVENT_MS);
            for (long event = first; event <= EVENTS && !run.isStopped; event++) {
                if (isOpen) {
                    isOpen = write(out, event);
                }
                run.lastEvent = event;
                isOpen = isOpen && awaitNext(c);
                if (!isOpen) {
                    if (dropsOnClose) {
                        break;
                    }
                    Store.sleep(EVENT_MS);
                }
            }
            isWhole = run.lastEvent == EVENTS;
            if (isOpen && isWhole) {
                out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
        } catch (IOException e) {
            isOpen = false;
        }
        run.endedAtMs = Store.now();
        synchronized (this) {
            running.remove(requestId);
        }
        Record.line(
                "engine %s ends %s at event %d%s", id, requestId, run.lastEvent, isOpen ? "" : ", its connection was closed");
        return false;
    }

    private static boolean write(OutputStream out, long event) {
        byte[] text = ("id: " + event + "\ndata: piece-" + event + "\n\n").getBytes(StandardCharsets.US_ASCII);
        try {
            out.write((Integer.toHexString(text.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(text);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits for the time of the next event; returns whether the connection is still open. */
    private static boolean awaitNext(Http.Connection c) {
        try {
            return c.in.read() >= 0;
        } catch (java.net.SocketTimeoutException e) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
