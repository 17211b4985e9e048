package io.hornbeamscale.core.document;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The kind of a service. */
public enum ServiceKind {
    /** Requests run on model engines. */
    @JsonProperty("model")
    MODEL,
    /** Requests are passed to plain HTTP services. */
    @JsonProperty("plain")
    PLAIN
}
