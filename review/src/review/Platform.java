package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A stand-in for the platform's metadata store: items, revisions, watches, conditional writes and leases. */
final class Platform implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int PAGE_ITEMS = 500;
    private static final int NO_ANSWER = 0;

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "platform");
        thread.setDaemon(true);
        return thread;
    });
    private final TreeMap<String, ObjectNode> items = new TreeMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long nextLease = 1_000;
    private long revision = 1;
    private boolean isSilent;

    Platform(String ip) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(ip), 0), 256);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
        threads.execute(this::expireLeases);
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    synchronized void put(String key, String value) {
        put(key, value, 0);
    }

    private void put(String key, String value, long lease) {
        revision++;
        ObjectNode item = JSON.createObjectNode();
        item.put("key", key);
        item.put("value", Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
        item.put("revision", revision);
        ObjectNode before = items.get(key);
        item.put("created", before == null ? revision : before.path("created").asLong());
        item.put("lease", lease);
        items.put(key, item);
        history.add(item);
        notifyAll();
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) {
            return;
        }
        revision++;
        ObjectNode item = JSON.createObjectNode();
        item.put("key", key);
        item.put("revision", revision);
        item.put("deleted", true);
        history.add(item);
        notifyAll();
    }

    /** Returns the keys that begin with a prefix. */
    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    /** Sets whether the store is down: no call, also a waiting one, is answered then or later. */
    synchronized void setSilent(boolean silent) {
        isSilent = silent;
        notifyAll();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String part : raw == null ? new String[0] : raw.split("&", -1)) {
            int equals = part.indexOf('=');
            query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        byte[] sent = exchange.getRequestBody().readAllBytes();
        String path = exchange.getRequestURI().getPath();
        ObjectNode reply = JSON.createObjectNode();
        int status;
        synchronized (this) {
            status = isSilent ? NO_ANSWER : answer(path, query, sent, reply);
        }
        if (status == NO_ANSWER) {
            return;
        }
        byte[] bytes = status == 200 || status == 412 ? JSON.writeValueAsBytes(reply) : new byte[0];
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private int answer(String path, Map<String, String> query, byte[] sent, ObjectNode reply) throws IOException {
        if (path.equals("/kv-range")) {
            return range(query, reply);
        }
        if (path.equals("/kv-watch")) {
            return watch(query, reply);
        }
        if (path.equals("/kv-txn")) {
            return transact(JSON.readTree(sent), reply);
        }
        if (path.equals("/kv-lease")) {
            long ttl = JSON.readTree(sent).path("ttlMs").asLong();
            long id = ++nextLease;
            leases.put(id, new long[] {System.nanoTime() + ttl * 1_000_000, ttl});
            reply.put("lease", id);
            reply.put("ttlMs", ttl);
            return 200;
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        long[] lease = leases.get(id);
        if (lease == null) {
            return 404;
        }
        if (path.startsWith("/kv-keep/")) {
            lease[0] = System.nanoTime() + lease[1] * 1_000_000;
            reply.put("ttlMs", lease[1]);
        } else {
            end(id);
        }
        return 200;
    }

    private int range(Map<String, String> query, ObjectNode reply) {
        ArrayNode found = reply.putArray("items");
        boolean hasMore = false;
        for (Map.Entry<String, ObjectNode> each :
                items.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
            if (!each.getKey().startsWith(query.get("prefix"))) {
                continue;
            }
            if (found.size() == PAGE_ITEMS) {
                hasMore = true;
                break;
            }
            found.add(each.getValue());
        }
        reply.put("hasMore", hasMore);
        reply.put("at", revision);
        return 200;
    }

    private int watch(Map<String, String> query, ObjectNode reply) {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        ArrayNode events = reply.putArray("events");
        while (true) {
            if (isSilent) {
                return NO_ANSWER;
            }
            for (ObjectNode item : history) {
                if (item.path("revision").asLong() > after
                        && item.path("key").asText().startsWith(query.get("prefix"))) {
                    events.add(item);
                }
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                reply.put("at", revision);
                return 200;
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return 503;
            }
        }
    }

    private int transact(JsonNode body, ObjectNode reply) {
        ArrayNode found = reply.putArray("items");
        boolean isMet = true;
        for (JsonNode row : body.path("expectedRevision")) {
            ObjectNode item = items.get(row.path("key").asText());
            long present = item == null ? 0 : item.path("revision").asLong();
            isMet &= present == row.path("revision").asLong();
            if (item != null) {
                found.add(item);
            }
        }
        if (!isMet) {
            return 412;
        }
        for (JsonNode write : body.path("writes")) {
            long lease = write.path("lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
        }
        reply.remove("items");
        for (JsonNode write : body.path("writes")) {
            byte[] value = Base64.getDecoder().decode(write.path("value").asText());
            put(
                    write.path("key").asText(),
                    new String(value, StandardCharsets.UTF_8),
                    write.path("lease").asLong());
        }
        for (JsonNode key : body.path("remove")) {
            remove(key.asText());
        }
        reply.put("revision", revision);
        return 200;
    }

    private void expireLeases() {
        try {
            while (true) {
                Thread.sleep(100);
                synchronized (this) {
                    Set<Long> ended = new HashSet<>();
                    leases.forEach((id, lease) -> {
                        if (System.nanoTime() > lease[0]) {
                            ended.add(id);
                        }
                    });
                    ended.forEach(this::end);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void end(long lease) {
        leases.remove(lease);
        List<String> keys = items.values().stream()
                .filter(item -> item.path("lease").asLong() == lease)
                .map(item -> item.path("key").asText())
                .toList();
        keys.forEach(this::remove);
    }
}
