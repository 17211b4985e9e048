package io.hornbeamscale.core.quarantine;

import io.hornbeamscale.core.store.StoreCall;

/** An action that a quarantine controller requests from its entry. */
public sealed interface QuarantineAction {
    /**
     * Calls the store and passes the reply to {@link QuarantineController#storeReplied}.
     *
     * @param call the call
     */
    record CallStore(StoreCall call) implements QuarantineAction {}

    /**
     * Sends an update to all other entries.
     *
     * @param update the update
     */
    record SendPeers(QuarantineUpdate update) implements QuarantineAction {}

    /**
     * Refuses the request, or all requests with the content, from now on; waiting ones end with
     * {@code request_quarantined}, running ones are cancelled.
     *
     * @param fingerprint the fingerprint of the request or of the content
     */
    record Refuse(RequestFingerprint fingerprint) implements QuarantineAction {}
}
