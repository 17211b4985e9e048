package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * What an entry regularly tells the other entries.
 *
 * @param node the name of the entry's VM; null means empty
 * @param revision the store's revision up to which the entry knows all changes
 * @param documentVersion the version of the document in force at the entry, 0 if it has none
 * @param hasStore whether the store answers this entry
 * @param loads the load that the entry has placed on backend servers; null means none
 */
public record EntryStatusMessage(
        @JsonProperty("n") String node,
        @JsonProperty("r") long revision,
        @JsonProperty("d") long documentVersion,
        @JsonProperty("h") boolean hasStore,
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
     * @param tokens the memory that they will need at their end, in tokens
     * @param prefillTokens the prompt tokens that are not read yet
     * @param eventMicros how long the server takes for an event of a stream, in microseconds, 0 if unknown
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
