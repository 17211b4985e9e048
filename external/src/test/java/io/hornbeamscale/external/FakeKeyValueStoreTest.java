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
            case OUTAGE -> store.setDown(true);
            case LOST_RESPONSE -> store.loseNextResponse();
            case OLDER_VALUE -> store.returnOlderValueNext(1);
            default -> {} // Calls of the fake take no time, so a slow call cannot be distinguished.
        }
    }

    @Override
    protected void clear() {
        store.setDown(false);
    }

    @Override
    protected void advance(long millis) {
        nowMillis += millis;
        store.tick();
    }
}
