package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.core.work.Payload;
import java.util.Map;

/**
 * Hands a request over to an agent, which starts it.
 *
 * @param request the request, not blank
 * @param attempt the number of the attempt, from 1
 * @param incarnation the incarnation in the grant
 * @param sequence the sequence number of the grant
 * @param method the HTTP method, not blank
 * @param path the path with its query, not blank
 * @param headers the headers to pass on; null means none
 * @param body the body; null means empty
 * @param remainingMillis the time until the deadline, in milliseconds
 * @param claimVersion the revision of the claim record, 0 if the call has no claim
 */
public record StartMessage(
        @JsonProperty("r") String request,
        @JsonProperty("a") int attempt,
        @JsonProperty("in") long incarnation,
        @JsonProperty("sq") long sequence,
        @JsonProperty("m") String method,
        @JsonProperty("pa") String path,
        @JsonProperty("h") Map<String, String> headers,
        @JsonProperty("bo") Payload body,
        @JsonProperty("d") long remainingMillis,
        @JsonProperty("cl") long claimVersion)
        implements AttemptMessage {
    /** Checks required fields and replaces missing optional ones. */
    public StartMessage {
        Arguments.notBlank(request, "request");
        Arguments.positive(attempt, "attempt");
        Arguments.notBlank(method, "method");
        Arguments.notBlank(path, "path");
        headers = headers == null ? Map.of() : Map.copyOf(headers);
        body = body == null ? Payload.EMPTY : body;
    }
}
