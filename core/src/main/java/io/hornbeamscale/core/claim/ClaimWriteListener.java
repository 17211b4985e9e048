package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.store.StoreCall;

/** Receives the store calls and outcomes of a partition writer. */
interface ClaimWriteListener {
    void storeCallNeeded(StoreCall call);

    void opCompleted(long opId, ClaimOutcome outcome);
}
