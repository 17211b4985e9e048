import java.util.concurrent.atomic.AtomicBoolean;

/** A runner leaves without a word while the store cuts waiting watches now and then. */
public final class CutWatch {
    private static final long DRAIN_MS = 3_000;
    private static final long STABLE_WINDOW_MS = 4_000;
    private static final long CUT_INTERVAL_MS = 2_000;
    private static final int CUTS = 4;

    /** How much longer than drainMs the runner serves. */
    private static final long LINGER_MS = 6_000;

    public static void main(String[] args) {
        Setup.main(args, CutWatch::run);
    }

    private static int run(Setup setup) throws Exception {
        setup.store.put(
                "op/config",
                new Manifest(3)
                        .service("box-office")
                        .tenant("t1", "key-1")
                        .route("seat-booking", "/book/", "non_idempotent", "box-office", 1_000, 1)
                        .toString());
        Runner first = new Runner(setup.store, "i-1", "box-office", "z1", "127.0.0.1", 0, System.currentTimeMillis());
        first.beat();
        Runner second = new Runner(setup.store, "i-2", "box-office", "z1", "127.0.0.1", 0, System.currentTimeMillis());
        second.beat();
        setup.gateway("z1");
        setup.gateway("z2");
        setup.startGateways();
        Store.sleep(2 * STABLE_WINDOW_MS);

        AtomicBoolean isOver = new AtomicBoolean();
        Thread[] callers = new Thread[setup.gateways.size()];
        for (int i = 0; i < callers.length; i++) {
            Gateway gateway = setup.gateways.get(i);
            callers[i] = new Thread(() -> {
                while (!isOver.get()) {
                    Caller.call(gateway.front, "POST", "/book/seat", "key-1", Caller.id(), 1_000);
                    Store.sleep(40);
                }
            });
            callers[i].start();
        }
        Store.sleep(3_000);
        Runner leaving = first.runs().size() > second.runs().size() ? first : second;
        Thread cuts = new Thread(() -> {
            for (int i = 0; i < CUTS && setup.hasTrouble; i++) {
                setup.gateways.forEach(g -> g.door.cutWaitingWatch());
                Store.sleep(CUT_INTERVAL_MS);
            }
        });
        cuts.start();
        Store.sleep(500);
        leaving.isBeating = false;
        int before = leaving.runs().size();
        setup.store.remove("servers/" + leaving.id);
        long removedAt = Store.now();
        Record.line("the entry of %s is removed; it had run %d requests and serves on", leaving.id, before);
        Store.sleep(DRAIN_MS + LINGER_MS);
        isOver.set(true);
        for (Thread each : callers) {
            each.join();
        }
        cuts.join();
        long late = leaving.runs().stream()
                .filter(r -> r.atMs() > removedAt + DRAIN_MS)
                .count();
        Record.line("requests that reached %s later than %d ms after that: %d", leaving.id, DRAIN_MS, late);
        if (before == 0 || setup.store.value("servers/" + leaving.id) != null) {
            return Setup.NOT_RUN;
        }
        return late > 0 ? Setup.BROKEN : Setup.HELD;
    }
}
