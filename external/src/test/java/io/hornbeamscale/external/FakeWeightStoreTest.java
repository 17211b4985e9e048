package io.hornbeamscale.external;

class FakeWeightStoreTest extends WeightStoreContract {
    private final FakeWeightStore store = new FakeWeightStore(BURST);

    @Override
    protected WeightStore store() {
        return store;
    }

    @Override
    protected void put(String name, String version, long sizeBytes) {
        store.put(name, version, sizeBytes);
    }

    @Override
    protected void setDown(boolean isDown) {
        store.setDown(isDown);
    }
}
