package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of eight engines fails a part of its streams for a while, after it has begun to run them: it answers 503, without
 * the header that says that a request has not run.
 */
final class FailedStream extends Case {
    private static final int ENGINES = 8;
    private static final int STREAMS = 160;
    private static final int CALLERS = 8;
    private static final int EVENTS = 4;
    private static final long EVENT_MILLIS = 30;
    private static final long FAULT_MILLIS = 6_500;

    /** Of each five of its streams, the failing engine fails the third and the fifth. */
    private static final Set<Integer> FAILED = Set.of(2, 4);

    private static final int OF = 5;

    /** The statuses that promise that a request has not run. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private final AtomicInteger arrivals = new AtomicInteger();
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final Set<String> toldNotRun = ConcurrentHashMap.newKeySet();
    private final AtomicInteger served = new AtomicInteger();
    private long faultEndMillis = Long.MAX_VALUE;

    public static void main(String[] args) {
        new FailedStream().run(args[0]);
    }

    @Override
    boolean play() throws Exception {
        for (int i = 1; i <= ENGINES; i++) {
            String id = "i-tale" + i;
            boolean isFailing = i == 1;
            startServer(id, "storyteller", "jabal-amman", (request, connection, out) ->
                    answer(id, isFailing, request, connection, out));
        }
        Entry entry = startEntry("edge-jabal-amman-1", "jabal-amman");
        entry.awaitReady();
        faultEndMillis = record.millis() + FAULT_MILLIS;
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        for (int i = 0; i < STREAMS; i++) {
            String name = "tale" + i;
            callers.execute(() -> send(entry, name));
        }
        callers.shutdown();
        callers.awaitTermination(60, TimeUnit.SECONDS);
        Set<String> broken = new TreeSet<>(toldNotRun);
        broken.retainAll(ran);
        record.result(STREAMS + " streams sent, " + served + " served, " + toldNotRun.size()
                + " told that they have not run; of these had run: " + broken);
        return broken.isEmpty();
    }

    private void answer(String id, boolean isFailing, Http.Message request, Socket connection, OutputStream out)
            throws IOException {
        String name = request.header("x-hornbeamscale-request-id");
        boolean isFailed = hasTrouble
                && isFailing
                && record.millis() < faultEndMillis
                && FAILED.contains(arrivals.getAndIncrement() % OF);
        pause(EVENT_MILLIS);
        ran.add(name);
        record.line(id, "makes the first token of " + name);
        if (isFailed) {
            record.line(id, "fails " + name + " with 503, without X-Hornbeamscale-Not-Run");
            out.write(Server.answer(request, id, 503, "", "out of memory".getBytes(StandardCharsets.UTF_8)));
            return;
        }
        out.write(Http.join(Server.streamHead(request, id), Server.event(1)));
        for (int i = 2; i <= EVENTS; i++) {
            pause(EVENT_MILLIS);
            out.write(Server.event(i));
        }
        out.write(Server.streamEnd());
    }

    private void send(Entry entry, String name) {
        try (Caller caller = new Caller(entry.callerAddress())) {
            String headers = "X-Hornbeamscale-Model: m\r\nX-Hornbeamscale-Token-Usage: 200,16\r\n"
                    + "X-Hornbeamscale-Prompt-Prefix: 5c1e07a2:100,f" + Integer.toHexString(name.hashCode())
                    + ":100\r\n";
            record.line("caller", "sends " + name);
            caller.send("POST", "/tale/" + name, name, 39_000, headers, "prompt".getBytes(StandardCharsets.UTF_8));
            Http.Message answer = caller.receive(15_000);
            if (answer == null) {
                record.line("caller", name + ": closed");
                return;
            }
            String stamp = answer.header("x-hornbeamscale-server-stamp");
            record.line("caller", name + ": " + answer.startLine() + ", stamp " + stamp);
            if (answer.status() == 200) {
                served.incrementAndGet();
            } else if (PROMISES.contains(answer.status())) {
                toldNotRun.add(name);
            }
        } catch (IOException e) {
            record.line("caller", name + ": " + e.getMessage());
        }
        pause(150);
    }
}
