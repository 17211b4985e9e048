package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hornbeamscale.core.util.Arguments;
import java.util.List;

/**
 * Describes a backend server to the entries.
 *
 * @param backend the backend server, not blank
 * @param incarnation the incarnation of the agent
 * @param capacityTokens the memory of the engine, in tokens
 * @param usedTokens the tokens that the memory of the engine holds
 * @param running the number of running requests
 * @param waiting the number of waiting reservations
 * @param expectedWaitMillis the expected waiting time of a new reservation, in milliseconds
 * @param tokenGapMillis the recent mean time between tokens, in milliseconds
 * @param isDraining whether the backend server accepts no new work
 * @param configVersion the version of the document in force
 * @param suspects fingerprints of requests in flight at a crash of the engine; null means none
 * @param cachedPrefixes hashes of prefixes that the engine likely holds; null means none
 */
public record BackendStatusMessage(
        @JsonProperty("b") String backend,
        @JsonProperty("in") long incarnation,
        @JsonProperty("cp") long capacityTokens,
        @JsonProperty("us") long usedTokens,
        @JsonProperty("rn") int running,
        @JsonProperty("w") int waiting,
        @JsonProperty("ew") long expectedWaitMillis,
        @JsonProperty("tg") double tokenGapMillis,
        @JsonProperty("dr") boolean isDraining,
        @JsonProperty("cv") long configVersion,
        @JsonProperty("su") List<String> suspects,
        @JsonProperty("ph") List<Long> cachedPrefixes)
        implements Message {
    /** Checks required fields and replaces missing optional ones. */
    public BackendStatusMessage {
        Arguments.notBlank(backend, "backend");
        suspects = suspects == null ? List.of() : List.copyOf(suspects);
        cachedPrefixes = cachedPrefixes == null ? List.of() : List.copyOf(cachedPrefixes);
    }
}
