package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of two engines is faulty for five seconds: it sends some of its answers a second time, late, where the next
 * answer on the connection is expected. The other engine is busy with long streams. A stream that the faulty engine
 * refused as full is sent to it again on the same connection, so both answers bear its id.
 */
final class ExtraAnswer extends Case {
    private static final int LONG_STREAMS = 24;
    private static final int LONG_EVENTS = 300;
    private static final int SHORT_STREAMS = 160;
    private static final int SHORT_CALLERS = 8;
    private static final int STREAMS = 4;
    private static final int EVENTS = 8;
    private static final long EVENT_MILLIS = 60;
    private static final long FAULT_MILLIS = 5_000;
    private static final double FAULT_SHARE = 0.03;

    private final Map<String, AtomicInteger> arrivals = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger extraAnswers = new AtomicInteger();
    private final AtomicInteger longStreams = new AtomicInteger();
    private final AtomicInteger shortServed = new AtomicInteger();
    private long faultEndMillis;

    public static void main(String[] args) {
        new ExtraAnswer().run(args[0]);
    }

    @Override
    boolean play() throws Exception {
        startServer("i-busy", "storyteller", "jabal-amman", (request, connection, out) -> {
            longStreams.incrementAndGet();
            stream(request, "i-busy", out, LONG_EVENTS);
        });
        Entry entry = startEntry("edge-jabal-amman-1", "jabal-amman");
        entry.awaitReady();
        for (int i = 0; i < LONG_STREAMS; i++) {
            Caller caller = new Caller(entry.callerAddress());
            opened.add(caller);
            caller.send("POST", "/tale/long", "long" + i, 39_000, prompt("200,1200", "c" + i), "p".getBytes());
        }
        for (int i = 0; i < 100 && longStreams.get() < LONG_STREAMS; i++) {
            pause(50);
        }
        record.line("i-busy", "runs " + longStreams + " long streams");
        startServer("i-faulty", "storyteller", "jabal-amman", this::answer);
        faultEndMillis = record.millis() + FAULT_MILLIS;
        pause(200);
        sendShortStreams(entry);
        record.line("caller", SHORT_STREAMS + " short streams sent, " + shortServed + " served");
        record.line("i-faulty", "has sent " + answers + " answers, " + extraAnswers + " of them twice");
        int served = 0;
        for (int i = 1; i <= STREAMS; i++) {
            served += send(entry, "tale" + i, prompt("200,32", "a" + i)) ? 1 : 0;
        }
        List<String> twice = new ArrayList<>();
        runs.forEach((name, count) -> {
            if (count.get() > 1) {
                twice.add(name);
            }
        });
        record.result(answers + " answers of the faulty engine, " + extraAnswers + " of them sent a second time; "
                + STREAMS + " streams sent, " + served + " served, run more than once: " + twice);
        return twice.isEmpty();
    }

    private void answer(Http.Message request, Socket connection, OutputStream out) throws IOException {
        String name = request.header("x-hornbeamscale-request-id");
        int arrival = count(arrivals, name);
        answers.incrementAndGet();
        if (name.startsWith("short")) {
            stream(request, "i-faulty", out, 1);
            return;
        }
        byte[] refusal = Server.answer(request, "i-faulty", 503, "X-Hornbeamscale-Not-Run: 1\r\n", new byte[0]);
        if (arrival == 1) {
            record.line("i-faulty", "refuses " + name + ": full, not run");
            out.write(refusal);
            return;
        }
        boolean isFaulty = hasTrouble
                && arrival == 2
                && record.millis() < faultEndMillis
                && extraAnswers.get() + 1 <= FAULT_SHARE * answers.get();
        if (isFaulty) {
            extraAnswers.incrementAndGet();
            record.line("i-faulty", "sends the refusal of " + name + " a second time");
            out.write(refusal);
        }
        record.line("i-faulty", "works on " + name);
        stream(request, "i-faulty", out, EVENTS);
        record.line("i-faulty", "ends its run of " + name);
    }

    /** Runs a stream. A request starts to run with its first token. */
    private void stream(Http.Message request, String id, OutputStream out, int events) throws IOException {
        String name = request.header("x-hornbeamscale-request-id");
        pause(events == 1 ? 5 : EVENT_MILLIS);
        int run = count(runs, name);
        if (name.startsWith("tale")) {
            record.line(id, "makes the first piece of " + name + ": run " + run);
        }
        out.write(Http.join(Server.streamHead(request, id), Server.event(1)));
        for (int i = 2; i <= events; i++) {
            pause(EVENT_MILLIS);
            out.write(Server.event(i));
        }
        out.write(Server.streamEnd());
    }

    private void sendShortStreams(Entry entry) throws InterruptedException {
        ExecutorService callers = Executors.newFixedThreadPool(SHORT_CALLERS);
        for (int i = 0; i < SHORT_STREAMS; i++) {
            String name = "short" + i;
            String prompt = prompt("50,4", "b" + i);
            callers.execute(() -> shortServed.addAndGet(send(entry, name, prompt) ? 1 : 0));
        }
        callers.shutdown();
        callers.awaitTermination(FAULT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean send(Entry entry, String name, String prompt) {
        boolean isRecorded = name.startsWith("tale");
        try (Caller caller = new Caller(entry.callerAddress())) {
            if (isRecorded) {
                record.line("caller", "sends " + name);
            }
            caller.send("POST", "/tale/" + name, name, 39_000, prompt, "prompt".getBytes());
            Http.Message answer = caller.receive(15_000);
            boolean isServed = answer != null && answer.status() == 200;
            if (isRecorded || !isServed) {
                record.line("caller", name + ": " + (answer == null ? "closed" : answer.startLine()));
            }
            return isServed;
        } catch (IOException e) {
            record.line("caller", name + ": " + e.getMessage());
            return false;
        }
    }

    private static String prompt(String usage, String part) {
        return "X-Hornbeamscale-Model: m\r\nX-Hornbeamscale-Token-Usage: " + usage
                + "\r\nX-Hornbeamscale-Prompt-Prefix: 5c1e07a2:20," + part + ":30\r\n";
    }

    private static int count(Map<String, AtomicInteger> counts, String name) {
        return counts.computeIfAbsent(name, k -> new AtomicInteger()).incrementAndGet();
    }
}
