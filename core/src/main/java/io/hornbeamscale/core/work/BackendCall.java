package io.hornbeamscale.core.work;

import io.hornbeamscale.core.util.Arguments;
import java.util.Map;

/**
 * An HTTP request to send to a backend server.
 *
 * @param method the HTTP method, not blank
 * @param path the path with its query, not blank
 * @param headers the headers to pass on, not null
 * @param body the body, not null
 */
public record BackendCall(String method, String path, Map<String, String> headers, Payload body) {
    /** Checks and copies the parts. */
    public BackendCall {
        Arguments.notBlank(method, "method");
        Arguments.notBlank(path, "path");
        headers = Map.copyOf(Arguments.notNull(headers, "headers"));
        Arguments.notNull(body, "body");
    }
}
