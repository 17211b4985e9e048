package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * Informs the other entries of the state of an entry. Every entry sends this message at regular intervals.
 *
 * @param node the name of the VM on which the entry runs; null becomes empty
 * @param era the era of the store that the revision belongs to; 0 if missing, as older versions do not send it
 * @param revision the revision of the store up to which the entry knows all changes
 * @param documentVersion the version of the configuration document in force at the entry, 0 if there is none
 * @param isStoreReachable whether the last call of the entry to the store succeeded
 * @param isWatching whether the entry watches the store itself and passes changes on
 * @param queuedTokens the prompt tokens of the streams that wait at the entry for a server with room
 * @param loads the load of each backend server that runs requests of the entry, and the speed of servers whose estimate
 *     has changed; null becomes empty
 */
public record EntryStatusMessage(
        @JsonProperty("n") String node,
        @JsonProperty("e") long era,
        @JsonProperty("r") long revision,
        @JsonProperty("d") long documentVersion,
        @JsonProperty("h") boolean isStoreReachable,
        @JsonProperty("w") boolean isWatching,
        @JsonProperty("q") long queuedTokens,
        @JsonProperty("l") List<BackendLoad> loads)
        implements Message {
    /** Replaces missing optional fields. */
    public EntryStatusMessage {
        node = node == null ? "" : node;
        loads = loads == null ? List.of() : List.copyOf(loads);
    }

    /**
     * The load of a backend server by requests of the sending entry only, and the server's speed.
     *
     * @param server the id of the server; null becomes empty
     * @param requests the number of the entry's requests that run or wait at the server
     * @param tokens the engine memory that these requests need when they end, in tokens
     * @param prefillTokens the number of prompt tokens that are not processed yet
     * @param usedTokens the engine memory that these requests use at present, in tokens
     * @param eventMicros the entry's estimate of the time per event of a stream without other load, in microseconds, 0
     *     if unknown
     * @param workPercent the lowest time of work that the server has stated, in percent of the usual time, 0 if unknown
     */
    public record BackendLoad(
            @JsonProperty("s") String server,
            @JsonProperty("c") int requests,
            @JsonProperty("m") long tokens,
            @JsonProperty("p") long prefillTokens,
            @JsonProperty("u") long usedTokens,
            @JsonProperty("e") long eventMicros,
            @JsonProperty("k") int workPercent) {
        /** Replaces a missing server id by an empty one. */
        public BackendLoad {
            server = server == null ? "" : server;
        }
    }
}
