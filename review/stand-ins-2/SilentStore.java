import java.util.concurrent.atomic.AtomicInteger;

/** The open connections to the store go silent just after a lease renewal; the manifest changes at that moment. */
public final class SilentStore {
    private static final long STABLE_WINDOW_MS = 4_000;
    private static final long CONFIG_APPLY_MS = 3_000;

    public static void main(String[] args) {
        Setup.main(args, SilentStore::run);
    }

    private static String manifest(int version) {
        return new Manifest(version)
                .service("box-office")
                .tenant("t1", "key-1")
                .route("seat-lookup", "/look" + version + "/", "idempotent", "box-office", 1_000, 2)
                .toString();
    }

    private static int run(Setup setup) throws Exception {
        setup.store.put("op/config", manifest(1));
        for (int i = 0; i < 3; i++) {
            new Runner(setup.store, "i-" + i, "box-office", "z1", "127.0.0.1", 0, System.currentTimeMillis()).beat();
            Store.sleep(400);
        }
        Gateway gateway = setup.gateway("z1");
        setup.startGateways();
        Store.sleep(2 * STABLE_WINDOW_MS);
        long before = gateway.door.renewedAtMs;
        while (gateway.door.renewedAtMs == before) {
            Store.sleep(10);
        }
        Record.line("the machine has renewed its lease");
        Store.sleep(800);
        long silentAt = Store.now();
        if (setup.hasTrouble) {
            gateway.door.silenceOpenConnections();
        }
        Store.sleep(50);
        setup.store.put("op/config", manifest(2));
        long confirmedAt = Store.now();
        Record.line("manifest 2 confirmed");
        int late = 0;
        while (Store.now() < silentAt + 12_000) {
            long sentAt = Store.now();
            int ofNew = Caller.call(gateway.front, "GET", "/look2/x", "key-1", Caller.id(), 1_000);
            int ofOld = Caller.call(gateway.front, "GET", "/look1/x", "key-1", Caller.id(), 1_000);
            boolean isInTouch = sentAt > silentAt + STABLE_WINDOW_MS && sentAt > confirmedAt + CONFIG_APPLY_MS;
            if (isInTouch && (ofNew == 404 || ofOld == 200)) {
                late++;
                Record.line("handled as the older manifest says, %d ms after the confirmation", sentAt - confirmedAt);
            }
            Store.sleep(20);
        }
        Record.line("requests handled as the older manifest says: %d", late);
        return late > 0 ? Setup.BROKEN : Setup.HELD;
    }
}
