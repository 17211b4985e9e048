package io.hornbeamscale.standin;

import io.hornbeamscale.external.CallPolicy;
import io.hornbeamscale.external.HttpWeightStore;
import io.hornbeamscale.external.PlatformIo;
import io.hornbeamscale.external.WeightStore;
import io.hornbeamscale.external.WeightStoreContract;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;

class HttpWeightStoreTest extends WeightStoreContract {
    private static final double FETCHES_PER_SECOND = 0.001;

    private final WeightStoreStandIn server = WeightStoreStandIn.builder()
            .fetchesPerSecond(FETCHES_PER_SECOND)
            .burst(BURST)
            .build();
    private final PlatformIo io = new PlatformIo(new Random(1));
    private final WeightStore store = new HttpWeightStore(io, server.start(), new CallPolicy(2_000, 400, 5, 40));

    @AfterEach
    void stop() {
        io.close();
        server.close();
    }

    @Override
    protected WeightStore store() {
        return store;
    }

    @Override
    protected void put(String name, String version, long sizeBytes) {
        server.put(name, version, sizeBytes);
    }

    @Override
    protected void setDown(boolean isDown) {
        server.faults().arm(new StandInFault.Stall(0));
    }
}
