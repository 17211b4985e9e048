package io.hornbeamscale.daemon;

import io.hornbeamscale.core.store.StoreCall;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Logs failures of the platform's store. */
final class StoreLogs {
    private static final Logger LOG = LogManager.getLogger("store");

    private StoreLogs() {}

    static void failed(StoreCall call, Throwable e) {
        LOG.warn("A call for the key {} failed: {}.", call.key(), e.getMessage());
    }
}
