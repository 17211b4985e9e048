package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Asks a peer for the document.
 *
 * @param haveVersion the version that the sender holds, 0 if none
 */
public record ConfigRequestMessage(@JsonProperty("hv") long haveVersion) implements Message {}
