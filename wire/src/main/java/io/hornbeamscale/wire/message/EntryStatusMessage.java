package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * Informs the other entries of the state of an entry; sent regularly.
 *
 * @param node the name of the entry's VM; null means empty
 * @param revision the store's revision up to which the entry knows all changes
 * @param documentVersion the version of the document in force at the entry, 0 if it has none
 * @param isStoreReachable whether the store responds to this entry
 * @param loads the load that the entry has placed on backend servers; null means none
 */
public record EntryStatusMessage(
        @JsonProperty("n") String node,
        @JsonProperty("r") long revision,
        @JsonProperty("d") long documentVersion,
        @JsonProperty("h") boolean isStoreReachable,
        @JsonProperty("l") List<BackendLoad> loads)
        implements Message {
    /** Replaces missing optional fields. */
    public EntryStatusMessage {
        node = node == null ? "" : node;
        loads = loads == null ? List.of() : List.copyOf(loads);
    }

    /**
     * The load on one backend server.
     *
     * @param server the id of the server; null means empty
     * @param requests the requests that run or wait there
     * @param tokens the engine memory that the requests need at their end, in tokens
     * @param prefillTokens the prompt tokens that the engine has not read yet
     * @param eventMicros the time that the server takes per event of a stream, in microseconds, 0 if unknown
     */
    public record BackendLoad(
            @JsonProperty("s") String server,
            @JsonProperty("c") int requests,
            @JsonProperty("m") long tokens,
            @JsonProperty("p") long prefillTokens,
            @JsonProperty("e") long eventMicros) {
        /** Replaces missing fields. */
        public BackendLoad {
            server = server == null ? "" : server;
        }
    }
}
