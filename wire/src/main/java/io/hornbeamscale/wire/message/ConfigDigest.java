package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Tells a peer which version of the document is in force.
 *
 * @param version the version
 */
public record ConfigDigest(@JsonProperty("cv") long version) implements Message {}
