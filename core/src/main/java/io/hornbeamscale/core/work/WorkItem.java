package io.hornbeamscale.core.work;

import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.util.Arguments;
import java.util.List;

/**
 * What the scheduler needs to know about one request. The body is not part of it.
 *
 * @param request the request, not null
 * @param service the service that is called, not null
 * @param customer the calling customer, not null
 * @param kind the kind of work that the document assigns a priority to, not null
 * @param priority the priority of the kind; a greater number goes first
 * @param promptTokens the number of prompt tokens, 0 for plain calls
 * @param maxTokens the caller's limit of output tokens, 0 for plain calls
 * @param prefixHashes hashes of growing prompt prefixes, shortest first, not null
 * @param arrivedMillis when the request arrived
 * @param deadlineMillis when waiting for a start becomes pointless
 * @param isRepeatable whether the request may be executed more than once
 * @param isPlain whether the request goes to a plain service
 * @param isSuspect whether the request was in flight when an engine crashed
 * @param model the model that the request names, empty if any backend server of the service may run it, not null
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
     * Returns this work marked as a suspect.
     *
     * @return a copy, or this work if it is a suspect already
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
