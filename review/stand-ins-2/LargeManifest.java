import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A large manifest changes in quick succession before machines with narrow links; the last version revokes a key. */
public final class LargeManifest {
    private static final long STABLE_WINDOW_MS = 5_000;
    private static final long CONFIG_APPLY_MS = 4_000;

    /** 10.5 Mbit/s, the narrowest link of the site as it is played, in bytes per millisecond. */
    private static final long LINK_BYTES_PER_MS = 1_312;

    /** The greatest number of routes of big_config. */
    private static final int ROUTES = 1_400;

    /** config_storm as in the standard days of the small sites: a change each 0.08 s for 2 s. */
    private static final int CHANGES = 25;

    private static final long GAP_MS = 80;

    public static void main(String[] args) {
        Setup.main(args, LargeManifest::run);
    }

    private static String manifest(int version, boolean hasOldKey) {
        Manifest manifest = new Manifest(version).service("album-app");
        if (hasOldKey) {
            manifest.tenant("t1", "key-1", "key-old");
        } else {
            manifest.tenant("t1", "key-1");
        }
        for (int i = 0; i < ROUTES; i++) {
            manifest.route("route-" + i, "/r" + i + "/", "idempotent", "album-app", 1_000, 2);
        }
        return manifest.route("new", "/v" + version + "/", "idempotent", "album-app", 1_000, 2).toString();
    }

    private static int run(Setup setup) throws Exception {
        setup.bounds = Setup.GROWN_BOUNDS;
        setup.store.put("op/config", manifest(1, true));
        Runner runner =
                new Runner(setup.store, "i-1", "album-app", "z1", "127.0.0.1", 0, System.currentTimeMillis());
        runner.beat();
        for (int i = 0; i < 4; i++) {
            setup.gateway("z" + (1 + i % 3)).door.bytesPerMs = LINK_BYTES_PER_MS;
        }
        setup.startGateways();
        Record.line("a manifest has %d bytes", manifest(1, true).length());
        Store.sleep(2 * STABLE_WINDOW_MS);

        int version = 1;
        List<String> manifests = new ArrayList<>();
        int changes = setup.hasTrouble ? CHANGES : 1;
        for (int i = 1; i <= changes; i++) {
            manifests.add(manifest(1 + i, i < changes));
        }
        long confirmedAt = 0;
        for (String each : manifests) {
            version++;
            setup.store.put("op/config", each);
            confirmedAt = Store.now();
            Record.line("manifest %d confirmed", version);
            Store.sleep(GAP_MS);
        }
        Record.line("the last manifest, %d, has no key-old", version);

        AtomicInteger refused = new AtomicInteger();
        AtomicInteger ran = new AtomicInteger();
        while (Store.now() < confirmedAt + 28_000) {
            for (Gateway each : setup.gateways) {
                long sentAt = Store.now() - confirmedAt;
                String id = Caller.id();
                int ofNew = Caller.call(each.front, "GET", "/v" + version + "/x", "key-1", id, 1_000);
                int ofOld = Caller.call(each.front, "GET", "/r1/x", "key-old", Caller.id(), 1_000);
                if (sentAt > CONFIG_APPLY_MS && ofNew == 404) {
                    refused.incrementAndGet();
                    Record.line("%s: 404 for a route of the manifest confirmed %d ms before", each.name, sentAt);
                }
                if (sentAt > CONFIG_APPLY_MS && ofOld == 200) {
                    ran.incrementAndGet();
                    Record.line("%s: a request with a key that was taken away %d ms before has run", each.name, sentAt);
                }
            }
            Store.sleep(500);
        }
        Record.line("later than %d ms after the confirmation: %d refused with 404, %d run with the dropped key",
                CONFIG_APPLY_MS, refused.get(), ran.get());
        return refused.get() + ran.get() > 0 ? Setup.BROKEN : Setup.HELD;
    }
}
