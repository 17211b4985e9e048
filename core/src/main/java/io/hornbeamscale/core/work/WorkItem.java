package io.hornbeamscale.core.work;

import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.util.Arguments;
import java.util.List;

/**
 * The properties of one request that matter for scheduling. The body is not included.
 *
 * @param request the request, not null
 * @param service the called service, not null
 * @param customer the calling customer, not null
 * @param kind the kind of work, to which the document assigns the priority, not null
 * @param priority the priority of the kind; a greater number goes first
 * @param promptTokens the number of prompt tokens, 0 for plain calls
 * @param maxTokens the caller's limit of output tokens, 0 for plain calls
 * @param prefixHashes the hashes of prompt prefixes of increasing length, shortest first, not null
 * @param arrivedMillis the arrival time of the request, in milliseconds
 * @param deadlineMillis the time after which the request must not wait for a start any longer, in milliseconds
 * @param isRepeatable whether the request may be executed more than once
 * @param isPlain whether the request goes to a plain service
 * @param isSuspect whether the request is suspected of crashing engines because it was in flight at a crash
 * @param model the requested model, empty if any backend server of the service may run the request, not null
 */
public record WorkItem(
        RequestId request,
        ServiceId service,
        CustomerId customer,
        String kind,
        int priority,
        int promptTokens,
        int maxTokens,
        List<Long> prefixHashes,
        long arrivedMillis,
        long deadlineMillis,
        boolean isRepeatable,
        boolean isPlain,
        boolean isSuspect,
        String model) {
    /** Checks and copies the parts. */
    public WorkItem {
        Arguments.notNull(request, "request");
        Arguments.notNull(service, "service");
        Arguments.notNull(customer, "customer");
        Arguments.notNull(kind, "kind");
        Arguments.notNegative(promptTokens, "promptTokens");
        Arguments.notNegative(maxTokens, "maxTokens");
        prefixHashes = List.copyOf(Arguments.notNull(prefixHashes, "prefixHashes"));
        Arguments.notNull(model, "model");
    }

    /**
     * Returns this work item marked as a suspect.
     *
     * @return a marked copy, or this work item if it is marked already
     */
    public WorkItem asSuspect() {
        if (isSuspect) {
            return this;
        }
        return new WorkItem(
                request,
                service,
                customer,
                kind,
                priority,
                promptTokens,
                maxTokens,
                prefixHashes,
                arrivedMillis,
                deadlineMillis,
                isRepeatable,
                isPlain,
                true,
                model);
    }
}
