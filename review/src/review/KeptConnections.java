package review;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers book at the rate of a deployment's sheet and keep their connections for many requests. Without the
 * disruption, they open a new connection for each request.
 */
final class KeptConnections extends Case {
    private static final int CALLERS = 24;

    /** With 24 callers, about 110 requests a second, which is less than the total of a deployment's sheet (116.8). */
    private static final long GAP_MILLIS = 200;

    /** The largest body of a booking and of its answer in the site files; a body may have 4,194,304 bytes. */
    private static final int BODY_BYTES = 3_600;

    private static final int RESPONSE_BYTES = 4_800;
    private static final long WORK_MILLIS = 15;
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final long LATE_MILLIS = 500;
    private static final long SENDING_MILLIS = 95_000;
    private static final long REPORT_MILLIS = 5_000;

    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger ran = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
    private final AtomicInteger unansweredLater = new AtomicInteger();

    public static void main(String[] args) {
        new KeptConnections().run(args[0]);
    }

    @Override
    boolean play() throws Exception {
        startServer("i-box1", "box-office", "jabal-amman", (request, connection, out) -> {
            pause(WORK_MILLIS);
            ran.incrementAndGet();
            out.write(Server.answer(request, "i-box1", 200, "", new byte[RESPONSE_BYTES]));
        });
        Entry entry = startEntry("edge-jabal-amman-1", "jabal-amman");
        entry.awaitReady();
        long until = record.millis() + SENDING_MILLIS;
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            Server.start(() -> call(entry, number, until), "caller" + i);
            pause(GAP_MILLIS / CALLERS);
        }
        while (record.millis() < until) {
            pause(REPORT_MILLIS);
            record.line("all", "sent " + sent + ", run " + ran + ", 200: " + served + ", other answers: " + failed
                    + ", closed: " + closed + ", unanswered after " + TIMEOUT_MILLIS + " ms: " + unansweredAtTimeout
                    + ", after " + (TIMEOUT_MILLIS + LATE_MILLIS) + " ms: " + unansweredLater + "; process alive: "
                    + entry.isAlive() + ", ready: " + entry.isReady());
        }
        pause(TIMEOUT_MILLIS + LATE_MILLIS);
        boolean isServing = probe(entry);
        record.result("unanswered at the route's timeout: " + unansweredAtTimeout + ", still unanswered half a second"
                + " later: " + unansweredLater + "; alone at the end, a request on a new connection is "
                + (isServing ? "served" : "not served"));
        return 2 * unansweredLater.get() <= unansweredAtTimeout.get();
    }

    private void call(Entry entry, int number, long until) {
        Caller caller = null;
        for (int i = 0; record.millis() < until; i++) {
            try {
                if (caller == null) {
                    caller = new Caller(entry.callerAddress());
                }
                boolean isKept = exchange(caller, "r" + number + "-" + i) && hasTrouble;
                if (!isKept) {
                    caller.close();
                    caller = null;
                }
            } catch (IOException e) {
                record.line("caller" + number, "no connection: " + e.getMessage());
                caller = null;
            }
            pause(GAP_MILLIS);
        }
    }

    /** Sends a request and returns whether the connection can be used again. */
    private boolean exchange(Caller caller, String name) {
        try {
            sent.incrementAndGet();
            caller.send("POST", "/book/" + name, name, TIMEOUT_MILLIS, "", new byte[BODY_BYTES]);
            Http.Message answer = receive(caller, name);
            if (answer == null) {
                return false;
            }
            if (answer.status() == 200) {
                served.incrementAndGet();
            } else {
                failed.incrementAndGet();
                record.line("caller", name + ": " + answer.startLine());
            }
            return !answer.header("connection").equals("close");
        } catch (IOException e) {
            closed.incrementAndGet();
            record.line("caller", name + ": " + e.getMessage());
            return false;
        }
    }

    private Http.Message receive(Caller caller, String name) throws IOException {
        try {
            Http.Message answer = caller.receive(TIMEOUT_MILLIS);
            if (answer == null) {
                throw new IOException("the connection was closed");
            }
            return answer;
        } catch (SocketTimeoutException e) {
            unansweredAtTimeout.incrementAndGet();
        }
        try {
            Http.Message answer = caller.receive(LATE_MILLIS);
            if (answer == null) {
                throw new IOException("the connection was closed");
            }
            return answer;
        } catch (SocketTimeoutException e) {
            unansweredLater.incrementAndGet();
            record.line("caller", name + ": no answer " + LATE_MILLIS + " ms after the route's timeout");
            return null;
        }
    }

    private boolean probe(Entry entry) {
        try (Caller caller = new Caller(entry.callerAddress())) {
            caller.send("POST", "/book/last", "last", TIMEOUT_MILLIS, "", "seat".getBytes());
            Http.Message answer = caller.receive(TIMEOUT_MILLIS + LATE_MILLIS);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }
}
