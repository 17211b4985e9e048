package io.hornbeamscale.core.dispatch;

import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.ZoneId;
import java.util.SplittableRandom;

/** Runs the contract against the reservation dispatcher. */
class ReservationDispatcherTest extends DispatcherContract {
    @Override
    Dispatcher create(int maxQueued, int retryPercent) {
        DispatcherConfig config = DispatcherConfig.builder(new ZoneId("z"), new RegionId("r"))
                .maxQueued(maxQueued)
                .retryPercent(retryPercent)
                .build();
        return new ReservationDispatcher(config, new SplittableRandom(1));
    }
}
