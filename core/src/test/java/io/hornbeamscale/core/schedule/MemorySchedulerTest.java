package io.hornbeamscale.core.schedule;

import io.hornbeamscale.core.id.BackendId;

/** Runs the contract against the memory scheduler. */
class MemorySchedulerTest extends EngineSchedulerContract {
    @Override
    EngineScheduler create(long capacityTokens, int maxRunning, int maxWaiting) {
        return new MemoryScheduler(SchedulerConfig.builder(new BackendId("b"), 1)
                .capacityTokens(capacityTokens)
                .maxRunning(maxRunning)
                .maxWaiting(maxWaiting)
                .grantMillis(GRANT_MILLIS)
                .build());
    }
}
