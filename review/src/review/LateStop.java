package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A process gets SIGTERM while it relays a long stream. Callers with kept connections go on booking until the grace
 * period ends.
 */
final class LateStop extends Case {
    private static final int CALLERS = 10;
    private static final long FIRST_BOOKING_MILLIS = 6_200;
    private static final long BOOKING_GAP_MILLIS = 100;
    private static final long WORK_MILLIS = 700;
    private static final long GRACE_MILLIS = 8_000;

    private final Set<String> reached = ConcurrentHashMap.newKeySet();
    private final Set<String> answered = ConcurrentHashMap.newKeySet();
    private final Set<String> cut = ConcurrentHashMap.newKeySet();

    public static void main(String[] args) {
        new LateStop().run(args[0]);
    }

    @Override
    boolean play() throws Exception {
        startServer("i-tale1", "storyteller", "jabal-amman", (request, connection, out) -> {
            record.line("i-tale1", "runs " + request.header("x-hornbeamscale-request-id"));
            out.write(Server.streamHead(request, "i-tale1"));
            for (int i = 1; i <= 236; i++) {
                pause(60);
                out.write(Server.event(i));
            }
            out.write(Server.streamEnd());
        });
        startServer("i-box1", "box-office", "jabal-amman", (request, connection, out) -> {
            String name = request.header("x-hornbeamscale-request-id");
            reached.add(name);
            record.line("i-box1", "runs " + name);
            pause(name.startsWith("first") ? 15 : WORK_MILLIS);
            record.line("i-box1", "ends its run of " + name);
            out.write(Server.answer(request, "i-box1", 200, "", new byte[800]));
        });
        Entry entry = startEntry("edge-jabal-amman-1", "jabal-amman");
        entry.awaitReady();
        Caller listener = new Caller(entry.callerAddress());
        listener.send("POST", "/tale/1", "tale1", 39_000, "X-Hornbeamscale-Token-Usage: 3000,944\r\n", "p".getBytes());
        record.line("caller", "sends tale1");
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Caller caller = new Caller(entry.callerAddress());
            caller.send("POST", "/book/first" + i, "first" + i, 2_000, "", "seat".getBytes());
            record.line("caller", "first" + i + ": " + caller.receive(3_000).startLine());
            callers.add(caller);
        }
        pause(500);
        long stopped = record.millis();
        if (hasTrouble) {
            entry.signal("TERM");
        }
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            Thread thread = new Thread(() -> book(callers.get(number), "book" + number, stopped
                    + FIRST_BOOKING_MILLIS
                    + number * BOOKING_GAP_MILLIS));
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        if (hasTrouble) {
            entry.awaitEnd(Math.max(1, stopped + GRACE_MILLIS - record.millis()));
        }
        record.result(CALLERS + " bookings sent, " + answered.size() + " answered, cut after they had been passed on: "
                + cut);
        return cut.isEmpty();
    }

    private void book(Caller caller, String name, long atMillis) {
        pause(atMillis - record.millis());
        try {
            record.line("caller", "sends " + name);
            caller.send("POST", "/book/" + name, name, 2_000, "", "seat".getBytes());
            Http.Message answer = caller.receive(3_000);
            if (answer != null) {
                answered.add(name);
                record.line("caller", name + ": " + answer.startLine());
                return;
            }
            record.line("caller", name + ": the connection was closed without an answer");
        } catch (IOException e) {
            record.line("caller", name + ": " + e.getMessage());
        }
        if (reached.contains(name)) {
            cut.add(name);
        }
    }
}
