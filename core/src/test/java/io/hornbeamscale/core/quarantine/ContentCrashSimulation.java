package io.hornbeamscale.core.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A day of four entries and eight engines on a simulated clock. Requests with a crashing part arrive among others of
 * the same route. Every engine that begins to respond to the part crashes, and all its requests end.
 */
final class ContentCrashSimulation {
    /** The number of requests with the crashing part that may be sent after the bound. */
    static final int ALLOWED_AFTER_BOUND = 3;

    /** The crash after which the time until the bound starts. */
    private static final int BOUND_CRASHES = 5;

    /** The time from that crash to the bound, in milliseconds. */
    private static final long BOUND_MILLIS = 4_000;

    private static final int ENTRIES = 4;
    private static final int ENGINES = 8;
    private static final int SUBJECTS = 12;
    private static final long DAY_MILLIS = 60_000;
    private static final long RESTART_MILLIS = 4_000;
    private static final long DETECTION_MILLIS = 120;
    private static final long ADVANCED_MILLIS = 250;
    private static final long MAX_PEER_DELAY_MILLIS = 60;
    private static final String SHARED = "shared";
    private static final String CRASHING = "crashing";

    private final SplittableRandom random;
    private final boolean isFirstPart;
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final List<QuarantineController> entries = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final List<Long> crashes = new ArrayList<>();
    private final Set<String> names = new HashSet<>();
    private long now;
    private long sequence;
    private int sentAfterBound;

    ContentCrashSimulation(long seed, boolean isFirstPart) {
        this.random = new SplittableRandom(seed);
        this.isFirstPart = isFirstPart;
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new QuarantineController(600_000, 0, new SplittableRandom(seed + i)));
        }
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new Engine(i));
        }
    }

    /** Plays the day. */
    void run() {
        long crashingGap = 200 + random.nextLong(1_500);
        for (long at = random.nextInt(5_000); at < DAY_MILLIS; at += 1 + random.nextLong(2 * crashingGap)) {
            schedule(at, () -> arrive(parts(CRASHING)));
        }
        long soundGap = 100 + random.nextLong(300);
        for (long at = 0; at < DAY_MILLIS; at += 1 + random.nextLong(2 * soundGap)) {
            schedule(at, () -> arrive(parts("subject-" + random.nextInt(SUBJECTS))));
        }
        while (!tasks.isEmpty()) {
            Task task = tasks.remove();
            now = task.atMillis;
            task.action.run();
        }
    }

    /** Returns how many requests with the crashing part were sent after the bound. */
    int sentAfterBound() {
        return sentAfterBound;
    }

    /** Returns the number of crashes. */
    int crashes() {
        return crashes.size();
    }

    /** Returns the sound parts that an entry refuses at the end of the day. */
    List<String> wronglyQuarantined() {
        List<String> wrong = new ArrayList<>();
        for (String name : names) {
            boolean isRefused = entries.stream().anyMatch(e -> isQuarantined(e, fingerprint(name)));
            if (isRefused && !name.equals(CRASHING)) {
                wrong.add(name);
            }
        }
        return wrong;
    }

    private List<RequestFingerprint> parts(String special) {
        List<String> parts =
                isFirstPart && special.equals(CRASHING) ? List.of(special, SHARED) : List.of(SHARED, special);
        names.addAll(parts);
        return parts.stream().map(ContentCrashSimulation::fingerprint).toList();
    }

    private static RequestFingerprint fingerprint(String name) {
        return RequestFingerprint.ofContent("part", name);
    }

    private boolean isQuarantined(QuarantineController entry, RequestFingerprint part) {
        return entry.check(part, now) == QuarantineStatus.QUARANTINED;
    }

    private void arrive(List<RequestFingerprint> parts) {
        int entry = random.nextInt(ENTRIES);
        Engine engine = engines.get(random.nextInt(ENGINES));
        boolean isRefused = parts.stream().anyMatch(p -> isQuarantined(entries.get(entry), p));
        if (isRefused || !engine.isUp) {
            return;
        }
        if (parts.contains(fingerprint(CRASHING))
                && crashes.size() >= BOUND_CRASHES
                && now > crashes.get(BOUND_CRASHES - 1) + BOUND_MILLIS) {
            sentAfterBound++;
        }
        Run run = new Run(entry, parts);
        engine.runs.add(run);
        int boot = engine.boot;
        schedule(now + 200 + random.nextInt(700), () -> {
            if (engine.boot == boot) {
                begin(engine, run);
            }
        });
    }

    private void begin(Engine engine, Run run) {
        run.begunMillis = now;
        if (run.parts.contains(fingerprint(CRASHING))) {
            crash(engine);
            return;
        }
        int boot = engine.boot;
        schedule(now + 60 + random.nextInt(6_000), () -> {
            if (engine.boot == boot && engine.runs.remove(run)) {
                succeeded(run);
            }
        });
        schedule(now + ADVANCED_MILLIS, () -> {
            if (engine.boot == boot && engine.runs.contains(run)) {
                succeeded(run);
            }
        });
    }

    private void succeeded(Run run) {
        deliver(run.entry, entries.get(run.entry).contentSucceeded(run.parts, now));
    }

    private void crash(Engine engine) {
        crashes.add(now);
        String crashId = engine.number + "/" + engine.boot;
        for (int entry = 0; entry < ENTRIES; entry++) {
            List<RequestFingerprint> begun = new ArrayList<>();
            List<RequestFingerprint> waiting = new ArrayList<>();
            for (Run run : engine.runs) {
                if (run.entry != entry) {
                    continue;
                }
                if (run.begunMillis < 0) {
                    waiting.addAll(run.parts);
                } else if (now - run.begunMillis < ADVANCED_MILLIS) {
                    begun.addAll(run.parts);
                }
            }
            if (!begun.isEmpty() || !waiting.isEmpty()) {
                int reporter = entry;
                ContentCrashReport report = new ContentCrashReport(crashId, begun, waiting);
                schedule(
                        now + DETECTION_MILLIS + random.nextInt(400),
                        () -> deliver(reporter, entries.get(reporter).contentCrashed(report, now)));
            }
        }
        engine.runs.clear();
        engine.isUp = false;
        engine.boot++;
        schedule(now + RESTART_MILLIS, () -> engine.isUp = true);
    }

    private void deliver(int from, List<QuarantineAction> actions) {
        for (QuarantineAction action : actions) {
            if (!(action instanceof QuarantineAction.SendPeers news)) {
                continue;
            }
            for (int to = 0; to < ENTRIES; to++) {
                QuarantineController peer = entries.get(to);
                int receiver = to;
                if (to != from) {
                    schedule(
                            now + 1 + random.nextLong(MAX_PEER_DELAY_MILLIS),
                            () -> deliver(receiver, peer.peerReported(news.update(), now)));
                }
            }
        }
    }

    private void schedule(long atMillis, Runnable action) {
        tasks.add(new Task(atMillis, sequence++, action));
    }

    private static final class Engine {
        private final int number;
        private final List<Run> runs = new ArrayList<>();
        private boolean isUp = true;
        private int boot;

        Engine(int number) {
            this.number = number;
        }
    }

    private static final class Run {
        private final int entry;
        private final List<RequestFingerprint> parts;

        /** When the engine began to respond, negative before. */
        private long begunMillis = -1;

        Run(int entry, List<RequestFingerprint> parts) {
            this.entry = entry;
            this.parts = parts;
        }
    }

    private record Task(long atMillis, long order, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
