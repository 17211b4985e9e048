package io.hornbeamscale.daemon;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Logs failures of the platform's store. */
final class StoreLogs {
    private static final Logger LOG = LogManager.getLogger("store");

    private StoreLogs() {}

    /** Logs the failure and returns the reply that stands for it. */
    static StoreReply failed(StoreCall call, Throwable e) {
        LOG.warn("A call for the key {} failed: {}.", call.key(), e.getMessage());
        return new StoreReply.NoAnswer(call.key());
    }
}
