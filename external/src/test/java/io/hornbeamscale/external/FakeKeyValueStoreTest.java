package io.hornbeamscale.external;

class FakeKeyValueStoreTest extends KeyValueStoreContract {
    private long nowMillis = 1_000;
    private final FakeKeyValueStore store = new FakeKeyValueStore(() -> nowMillis);

    @Override
    protected KeyValueStore store() {
        return store;
    }

    @Override
    protected void arm(StoreFault fault) {
        switch (fault) {
            case OUTAGE -> store.down(true);
            case LOST_RESPONSE -> store.loseNextResponse();
            case OLDER_VALUE -> store.olderNext(1);
            default -> {} // The fake has no duration, so a slow call does not differ.
        }
    }

    @Override
    protected void clear() {
        store.down(false);
    }

    @Override
    protected void advance(long millis) {
        nowMillis += millis;
        store.tick();
    }
}
