package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.store.StoreCall;

/** Receives what a partition writer does. */
interface ClaimEffects {
    void call(StoreCall call);

    void resolve(long opId, ClaimOutcome outcome);
}
