import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in for the platform's store: items, revisions, watches, leases and transactions as PROTOCOL.md describes
 * them, with a history of 20 s. Each machine has a door of its own, so that the store can refuse some machines while it
 * serves the others and the operator.
 */
final class Store {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final long HISTORY_MS = 20_000;
    private static final int PAGE_ITEMS = 500;
    private static final int CUT = -1;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final ArrayDeque<Event> history = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long historyFrom = 1;
    private long nextLease = 100;

    enum Mode {
        SERVING,
        BUSY,
        SILENT,
        RESET
    }

    /** The address at which one machine reaches the store. */
    final class Door {
        volatile Mode mode = Mode.SERVING;

        /** The time that an answer takes, in milliseconds. */
        volatile long delayMs = 4;

        /** The rate at which answers reach the machine, in bytes per millisecond; 0 for no limit. */
        volatile long bytesPerMs;

        private volatile int cuts;

        /** When the machine last renewed a lease. */
        volatile long renewedAtMs;

        private final Set<Http.Connection> open = ConcurrentHashMap.newKeySet();
        private final Set<Http.Connection> silent = ConcurrentHashMap.newKeySet();
        final Http.Server server;

        Door(String ip) throws IOException {
            server = new Http.Server(ip, 0, this::handle);
        }

        String address() {
            return server.address();
        }

        /** Cuts the watch that is waiting, as the store may: its connection is closed without an answer. */
        void cutWaitingWatch() {
            cuts++;
            synchronized (Store.this) {
                Store.this.notifyAll();
            }
        }

        /** Lets the open connections go silent for good, without a reset; new ones work. */
        void silenceOpenConnections() {
            silent.addAll(open);
            Record.line("%d open connections to the store go silent", open.size());
        }

        private boolean handle(Http.Message request, Http.Connection c) throws IOException {
            open.add(c);
            if (silent.contains(c)) {
                sleep(100_000);
                return false;
            }
            if (mode == Mode.RESET) {
                c.reset();
                return false;
            }
            if (mode == Mode.SILENT) {
                sleep(30_000);
                return false;
            }
            if (mode == Mode.BUSY) {
                c.respond(503, Map.of(), new byte[0]);
                return true;
            }
            ObjectNode reply = JSON.createObjectNode();
            int status = answer(request, reply, this);
            if (status == CUT) {
                Record.line("the store cuts a waiting watch");
                return false;
            }
            sleep(delayMs);
            if (silent.contains(c)) {
                sleep(100_000);
                return false;
            }
            if (request.path().startsWith("/kv-keep/")) {
                renewedAtMs = now();
            }
            if (mode == Mode.SILENT) {
                sleep(30_000);
                return false;
            }
            byte[] body = reply.toString().getBytes(StandardCharsets.UTF_8);
            if (bytesPerMs == 0) {
                c.respond(status, Map.of("Content-Type", "application/json"), body);
                return true;
            }
            String head = "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                    + "\r\n\r\n";
            c.out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            int step = (int) (10 * bytesPerMs);
            long start = System.nanoTime();
            for (int sent = 0; sent < body.length; sent += step) {
                c.out.write(body, sent, Math.min(step, body.length - sent));
                c.out.flush();
                long due = start + (sent + step) / bytesPerMs * 1_000_000;
                sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
            }
            return true;
        }
    }

    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Event(String key, Item item, long revision, long atMs) {}

    private static final class Lease {
        long ttlMs;
        long untilMs;
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes as the operator or a runner. Returns the revision of the confirmation. */
    synchronized long put(String key, String text) {
        return write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
    }

    /** Removes as the operator or for a runner. */
    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            note(new Event(key, null, ++revision, now()));
        }
    }

    synchronized String value(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
    }

    synchronized List<String> keys(String prefix) {
        expire();
        return items.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
    }

    private long write(String key, String value, long lease) {
        Item before = items.get(key);
        revision++;
        Item item = new Item(key, value, revision, before == null ? revision : before.created, lease);
        items.put(key, item);
        note(new Event(key, item, revision, now()));
        return revision;
    }

    private void note(Event event) {
        history.add(event);
        while (!history.isEmpty() && event.atMs - history.peek().atMs > HISTORY_MS) {
            historyFrom = history.poll().revision;
        }
        notifyAll();
    }

    private void expire() {
        long now = now();
        List<Long> ended = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (lease.untilMs < now) {
                ended.add(id);
            }
        });
        ended.forEach(this::endLease);
    }

    private void endLease(long id) {
        leases.remove(id);
        for (Item item : new ArrayList<>(items.values())) {
            if (item.lease == id) {
                items.remove(item.key);
                note(new Event(item.key, null, ++revision, now()));
            }
        }
    }

    private synchronized int answer(Http.Message request, ObjectNode reply, Door door) throws IOException {
        expire();
        Map<String, String> query = new HashMap<>();
        String[] target = request.target().split("\\?", 2);
        if (target.length > 1) {
            for (String each : target[1].split("&", -1)) {
                String[] pair = each.split("=", 2);
                query.put(pair[0], URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
            }
        }
        JsonNode body = request.body.length == 0 ? JSON.createObjectNode() : JSON.readTree(request.body);
        String path = target[0];
        if (path.equals("/kv-key")) {
            Item item = items.get(query.get("key"));
            reply.put("at", revision);
            if (item != null) {
                reply.setAll(json(item));
            }
            return item == null ? 404 : 200;
        }
        if (path.equals("/kv-range")) {
            return range(query, reply);
        }
        if (path.equals("/kv-watch")) {
            return watch(query, reply, door);
        }
        if (path.equals("/kv-txn")) {
            return transact(body, reply);
        }
        if (path.equals("/kv-lease")) {
            Lease lease = new Lease();
            lease.ttlMs = Math.max(1_000, body.path("ttlMs").asLong());
            lease.untilMs = now() + lease.ttlMs;
            leases.put(++nextLease, lease);
            reply.put("lease", nextLease).put("ttlMs", lease.ttlMs);
            return 200;
        }
        if (path.startsWith("/kv-keep/")) {
            Lease lease = leases.get(Long.parseLong(path.substring("/kv-keep/".length())));
            if (lease == null) {
                return 404;
            }
            lease.untilMs = now() + lease.ttlMs;
            reply.put("ttlMs", lease.ttlMs);
            return 200;
        }
        if (path.startsWith("/kv-lease-end/")) {
            endLease(Long.parseLong(path.substring("/kv-lease-end/".length())));
            return 200;
        }
        return 404;
    }

    private int range(Map<String, String> query, ObjectNode reply) {
        ArrayNode list = reply.putArray("items");
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        boolean hasMore = false;
        long bytes = 0;
        for (Item item : items.tailMap(after, after.isEmpty()).values()) {
            if (!item.key.startsWith(prefix)) {
                continue;
            }
            if (list.size() >= PAGE_ITEMS || (bytes + item.value.length() > 1_000_000 && list.size() > 0)) {
                hasMore = true;
                break;
            }
            bytes += item.value.length();
            list.add(json(item));
        }
        reply.put("hasMore", hasMore).put("at", revision);
        return 200;
    }

    private int watch(Map<String, String> query, ObjectNode reply, Door door) {
        long after = Long.parseLong(query.get("after"));
        String prefix = query.getOrDefault("prefix", "");
        long until = now() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        int cuts = door.cuts;
        while (true) {
            if (after < historyFrom) {
                return 410;
            }
            ArrayNode events = JSON.createArrayNode();
            for (Event event : history) {
                if (event.revision > after && event.key.startsWith(prefix)) {
                    if (event.item != null) {
                        events.add(json(event.item));
                    } else {
                        events.addObject().put("key", event.key).put("revision", event.revision).put("deleted", true);
                    }
                }
            }
            if (door.cuts != cuts) {
                return CUT;
            }
            long left = until - now();
            if (!events.isEmpty() || left <= 0) {
                reply.set("events", events);
                reply.put("at", revision);
                return 200;
            }
            try {
                wait(Math.min(left, 200));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return 503;
            }
            expire();
        }
    }

    private int transact(JsonNode body, ObjectNode reply) {
        for (JsonNode each : body.path("expectedRevision")) {
            Item item = items.get(each.path("key").asText());
            if ((item == null ? 0 : item.revision) != each.path("revision").asLong()) {
                ArrayNode list = reply.putArray("items");
                if (item != null) {
                    list.add(json(item));
                }
                return 412;
            }
        }
        for (JsonNode each : body.path("writes")) {
            if (each.path("lease").asLong() != 0 && !leases.containsKey(each.path("lease").asLong())) {
                return 404;
            }
        }
        for (JsonNode each : body.path("writes")) {
            write(each.path("key").asText(), each.path("value").asText(), each.path("lease").asLong());
        }
        for (JsonNode each : body.path("remove")) {
            remove(each.asText());
        }
        reply.put("revision", revision);
        return 200;
    }

    private static ObjectNode json(Item item) {
        return JSON.createObjectNode()
                .put("key", item.key)
                .put("value", item.value)
                .put("revision", item.revision)
                .put("created", item.created)
                .put("lease", item.lease);
    }
}
