import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A requester: one attempt a call, each with an id of its own, each on a connection of its own. */
final class Caller {
    private static final AtomicLong IDS = new AtomicLong();

    private Caller() {}

    static String id() {
        return String.format("%016x", 0x9c41000000000000L + IDS.incrementAndGet());
    }

    /** Sends one request; the status of the answer, 0 for none. */
    static int call(String front, String method, String path, String key, String id, int deadlineMs) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "case.example");
        headers.put("X-Hornbeamscale-Request-Id", id);
        headers.put("X-Hornbeamscale-Deadline-Ms", Integer.toString(deadlineMs));
        headers.put("X-Api-Key", key);
        byte[] body = method.equals("GET") ? new byte[0] : "body of the request".getBytes();
        Http.Message answer = Http.call(front, method, path, headers, body, deadlineMs + 1_000);
        int status = answer == null ? 0 : answer.status();
        Record.line("caller sent %s %s %s key %s to %s: %s", id, method, path, key, front, status == 0 ? "no answer" : status);
        return status;
    }
}
