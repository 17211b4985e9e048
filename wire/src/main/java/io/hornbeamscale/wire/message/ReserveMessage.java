package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hornbeamscale.core.util.Arguments;
import java.util.List;

/**
 * Asks an agent for a place in its queue.
 *
 * @param request the request, not blank
 * @param attempt the number of the attempt, from 1
 * @param service the service, not blank
 * @param customer the customer, not blank
 * @param kind the kind of work; null means empty
 * @param priority the priority
 * @param promptTokens the number of prompt tokens
 * @param maxTokens the limit of output tokens
 * @param prefixHashes hashes of growing prompt prefixes; null means none
 * @param ageMillis the time since the request arrived, in milliseconds
 * @param remainingMillis the time until the deadline, in milliseconds
 * @param isRepeatable whether the request may be executed more than once
 * @param isPlain whether the request goes to a plain service
 * @param isSuspect whether the request was in flight when an engine crashed
 * @param model the model that the request names; null means empty
 */
public record ReserveMessage(
        @JsonProperty("r") String request,
        @JsonProperty("a") int attempt,
        @JsonProperty("s") String service,
        @JsonProperty("c") String customer,
        @JsonProperty("k") String kind,
        @JsonProperty("pr") int priority,
        @JsonProperty("pt") int promptTokens,
        @JsonProperty("mt") int maxTokens,
        @JsonProperty("ph") List<Long> prefixHashes,
        @JsonProperty("ag") long ageMillis,
        @JsonProperty("d") long remainingMillis,
        @JsonProperty("re") boolean isRepeatable,
        @JsonProperty("pl") boolean isPlain,
        @JsonProperty("su") boolean isSuspect,
        @JsonProperty("mo") String model)
        implements AttemptMessage {
    /** Checks required fields and replaces missing optional ones. */
    public ReserveMessage {
        Arguments.notBlank(request, "request");
        Arguments.positive(attempt, "attempt");
        Arguments.notBlank(service, "service");
        Arguments.notBlank(customer, "customer");
        kind = kind == null ? "" : kind;
        prefixHashes = prefixHashes == null ? List.of() : List.copyOf(prefixHashes);
        model = model == null ? "" : model;
    }
}
