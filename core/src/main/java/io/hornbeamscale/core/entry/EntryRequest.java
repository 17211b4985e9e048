package io.hornbeamscale.core.entry;

import io.hornbeamscale.core.claim.DuplicateProtection;
import io.hornbeamscale.core.quarantine.RequestFingerprint;
import io.hornbeamscale.core.stream.DeliveryMode;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.core.work.BackendCall;
import io.hornbeamscale.core.work.WorkItem;
import java.util.List;

/**
 * A request of a caller.
 *
 * @param work the properties of the request that dispatch and scheduling use, not null
 * @param call the call to hand over, not null
 * @param isStreaming whether the caller wants tokens as they arrive
 * @param mayRestart whether the caller accepts that a lost generation is replaced by a new one after tokens were
 *     delivered
 * @param idempotencyKey the caller's idempotency key, empty if it sent none
 * @param protection how the call is protected against a second execution, not null
 * @param content what it may share with other requests, such as passages of its prompt, not null
 */
public record EntryRequest(
        WorkItem work,
        BackendCall call,
        boolean isStreaming,
        boolean mayRestart,
        String idempotencyKey,
        DuplicateProtection protection,
        List<RequestFingerprint> content) {
    /** Checks the parts. */
    public EntryRequest {
        Arguments.notNull(work, "work");
        Arguments.notNull(call, "call");
        Arguments.notNull(idempotencyKey, "idempotencyKey");
        Arguments.notNull(protection, "protection");
        content = List.copyOf(Arguments.notNull(content, "content"));
    }

    /** Returns how the caller wants to receive the response. */
    DeliveryMode mode() {
        if (!isStreaming) {
            return DeliveryMode.WHOLE;
        }
        return mayRestart ? DeliveryMode.STREAM_OR_RESTART : DeliveryMode.STREAM;
    }
}
