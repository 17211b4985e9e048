package io.hornbeamscale.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamscale.core.work.EngineLoad;

/** Reads an engine's report of its load. */
final class EngineLoadReader {
    private EngineLoadReader() {}

    /** Returns the load; the report was taken some time before it was received. */
    static EngineLoad read(JsonNode node, long nowMillis) {
        return new EngineLoad(
                nowMillis - node.path("ageMillis").asLong(),
                node.path("usedTokens").asLong(),
                node.path("running").asInt(),
                node.path("preemptions").asLong());
    }
}
