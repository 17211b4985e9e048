package io.hornbeamscale.core.quarantine;

import io.hornbeamscale.core.store.StoreCall;

/** What a quarantine controller asks its entry to do. */
public sealed interface QuarantineAction {
    /**
     * Calls the store and passes the reply to {@link QuarantineController#storeReplied}.
     *
     * @param call the call
     */
    record CallStore(StoreCall call) implements QuarantineAction {}

    /**
     * Tells all other entries.
     *
     * @param update what to tell
     */
    record SendPeers(QuarantineUpdate update) implements QuarantineAction {}

    /**
     * Refuses the request from now on; waiting copies end with {@code request_quarantined}, running ones are cancelled.
     *
     * @param fingerprint the request
     */
    record Refuse(RequestFingerprint fingerprint) implements QuarantineAction {}
}
