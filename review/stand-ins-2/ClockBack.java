import java.util.concurrent.atomic.AtomicBoolean;

/** A runner starts again under its id after its machine's clock was set back, and drains later. */
public final class ClockBack {
    private static final long DRAIN_MS = 4_000;
    private static final long STABLE_WINDOW_MS = 5_000;

    /** The jump of clock_step that the kinds of the site name, in milliseconds. */
    private static final long CLOCK_JUMP_MS = 2_000;

    /** Enough callers and work that both runners get requests. */
    private static final int CALLERS_PER_GATEWAY = 3;

    private static final long WORK_MS = 40;

    public static void main(String[] args) {
        Setup.main(args, ClockBack::run);
    }

    private static int run(Setup setup) throws Exception {
        setup.bounds = Setup.GROWN_BOUNDS;
        setup.store.put(
                "op/config",
                new Manifest(3)
                        .service("box-office")
                        .tenant("t1", "key-1")
                        .route("seat-booking", "/book/", "non_idempotent", "box-office", 1_000, 1)
                        .toString());
        Runner other = new Runner(setup.store, "i-other", "box-office", "z1", "127.0.0.1", 0, System.currentTimeMillis());
        other.workMs = WORK_MS;
        other.beat();
        setup.gateway("z1");
        setup.gateway("z2");
        setup.startGateways();
        Store.sleep(STABLE_WINDOW_MS);

        long ahead = setup.hasTrouble ? CLOCK_JUMP_MS : 0;
        Record.line("the clock of the runner's machine is ahead by %d ms", ahead);
        Runner first = new Runner(
                setup.store, "i-case", "box-office", "z1", "127.0.0.1", 0, System.currentTimeMillis() + ahead);
        first.beat();
        Record.line("runner i-case starts, born %d", first.born);
        Store.sleep(700);
        int port = Integer.parseInt(first.server.address().split(":")[1]);
        first.crash();
        Store.sleep(600);
        Record.line("the clock of the runner's machine is right again");
        Runner second =
                new Runner(setup.store, "i-case", "box-office", "z1", "127.0.0.1", port, System.currentTimeMillis());
        second.workMs = WORK_MS;
        second.beat();
        Record.line("runner i-case starts again, born %d", second.born);
        Store.sleep(2 * STABLE_WINDOW_MS);

        AtomicBoolean isOver = new AtomicBoolean();
        Thread[] callers = new Thread[CALLERS_PER_GATEWAY * setup.gateways.size()];
        for (int i = 0; i < callers.length; i++) {
            Gateway gateway = setup.gateways.get(i % setup.gateways.size());
            callers[i] = new Thread(() -> {
                while (!isOver.get()) {
                    Caller.call(gateway.front, "POST", "/book/seat", "key-1", Caller.id(), 1_000);
                    Store.sleep(40);
                }
            });
            callers[i].start();
        }
        Store.sleep(3_000);
        int before = second.runs().size();
        second.state = "draining";
        second.report();
        long drainingAt = Store.now();
        Record.line("the store has accepted that i-case is draining; it had run %d requests", before);
        Store.sleep(DRAIN_MS + 8_000);
        isOver.set(true);
        for (Thread each : callers) {
            each.join();
        }
        long late = second.runs().stream().filter(r -> r.atMs() > drainingAt + DRAIN_MS).count();
        Record.line("requests that reached i-case later than %d ms after that: %d", DRAIN_MS, late);
        if (before == 0) {
            Record.line("i-case had run no request before, so the case says nothing");
            return Setup.NOT_RUN;
        }
        return late > 0 ? Setup.BROKEN : Setup.HELD;
    }
}
