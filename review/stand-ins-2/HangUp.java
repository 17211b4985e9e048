/** SIGHUP reaches a process that has just been started. Not one of the five cases; run by hand. */
public final class HangUp {
    private static final int[] AFTER_START_MS = {50, 200, 400, 600, 1_000, 2_000};

    public static void main(String[] args) {
        Setup.main(args, HangUp::run);
    }

    private static int run(Setup setup) throws Exception {
        setup.store.put(
                "op/config",
                new Manifest(3)
                        .service("box-office")
                        .tenant("t1", "key-1")
                        .route("seat-booking", "/book/", "non_idempotent", "box-office", 1_000, 1)
                        .toString());
        new Runner(setup.store, "i-1", "box-office", "z1", "127.0.0.1", 0, System.currentTimeMillis()).beat();
        int ended = 0;
        for (int after : AFTER_START_MS) {
            Gateway gateway = setup.gateway("z1");
            gateway.start();
            Store.sleep(after);
            if (setup.hasTrouble) {
                gateway.signal("HUP");
            }
            Store.sleep(1_500);
            boolean isAlive = gateway.process.isAlive();
            Record.line("%d ms after the start: the process %s", after, isAlive ? "lives" : "has ended");
            ended += isAlive ? 0 : 1;
            gateway.process.destroyForcibly();
        }
        return ended > 0 ? Setup.BROKEN : Setup.HELD;
    }
}
