package io.hornbeamscale.daemon;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Handles failed calls to the platform's store. */
final class StoreFailures {
    private static final Logger LOG = LogManager.getLogger("store");

    private StoreFailures() {}

    /** Logs the failure of a call and returns the reply that represents it. */
    static StoreReply logAndReply(StoreCall call, Throwable e) {
        LOG.warn("Store call for key {} failed: {}.", call.key(), e.getMessage());
        return new StoreReply.NoAnswer(call.key());
    }
}
