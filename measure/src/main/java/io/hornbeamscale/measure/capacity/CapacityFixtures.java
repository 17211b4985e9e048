package io.hornbeamscale.measure.capacity;

import io.hornbeamscale.core.dispatch.BackendDescriptor;
import io.hornbeamscale.core.dispatch.DispatcherConfig;
import io.hornbeamscale.core.dispatch.ReservationDispatcher;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.id.ZoneId;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.WorkItem;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** Objects of typical size for the capacity measurements. */
final class CapacityFixtures {
    static final long SEED = 1;
    static final ServiceId SERVICE = new ServiceId("service-1");
    static final RegionId REGION = new RegionId("region-1");
    static final ZoneId ZONE = new ZoneId("zone-1");
    static final String MODEL = "model-1";
    static final int CUSTOMERS = 500;
    private static final int MAX_WAIT_MILLIS = 100_000_000;
    private static final long CAPACITY_TOKENS = 400_000;

    private CapacityFixtures() {}

    static WorkItem work(int number, long nowMillis) {
        return new WorkItem(
                new RequestId("entry-101-" + number),
                SERVICE,
                new CustomerId("customer-" + number % CUSTOMERS),
                "interactive",
                5,
                200,
                1_000,
                List.of(number * 31L, number * 37L, number * 41L),
                nowMillis,
                nowMillis + MAX_WAIT_MILLIS,
                true,
                false,
                false,
                MODEL);
    }

    static BackendId backend(int number) {
        return new BackendId("runner-" + number);
    }

    static BackendStatus status(int number, int load) {
        return new BackendStatus(
                backend(number),
                1,
                CAPACITY_TOKENS,
                1_000L * load,
                load,
                load / 2,
                10L * load,
                25,
                false,
                Set.of((long) number, number + 1L, number + 2L, number + 3L));
    }

    static ReservationDispatcher dispatcher(int backends, int maxQueued, long nowMillis) {
        DispatcherConfig config =
                DispatcherConfig.builder(ZONE, REGION).maxQueued(maxQueued).build();
        ReservationDispatcher dispatcher = new ReservationDispatcher(config, new Random(SEED));
        List<BackendDescriptor> descriptors = new ArrayList<>();
        for (int i = 0; i < backends; i++) {
            descriptors.add(new BackendDescriptor(backend(i), SERVICE, MODEL, ZONE, REGION));
        }
        dispatcher.watch(descriptors, nowMillis);
        for (int i = 0; i < backends; i++) {
            dispatcher.status(status(i, i % 32), nowMillis);
        }
        return dispatcher;
    }
}
