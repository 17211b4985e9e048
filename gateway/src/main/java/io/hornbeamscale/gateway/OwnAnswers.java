package io.hornbeamscale.gateway;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ErrorResponses;
import java.nio.charset.StandardCharsets;

/** The responses that an entry makes itself. */
final class OwnAnswers {
    private static final int SERVICE_UNAVAILABLE = 503;

    private OwnAnswers() {}

    /**
     * Returns the status of an error. It follows the table of the project but for one kind: callers of this interface
     * take a status of 4xx as a fault of the request itself, and a request that crashed servers is well-formed.
     */
    static int status(ErrorKind kind) {
        return kind == ErrorKind.REQUEST_QUARANTINED
                ? SERVICE_UNAVAILABLE
                : ErrorResponses.of(kind).httpStatus();
    }

    static byte[] body(ErrorKind kind) {
        return ("{\"error\":\"" + kind.code() + "\"}\n").getBytes(StandardCharsets.UTF_8);
    }
}
