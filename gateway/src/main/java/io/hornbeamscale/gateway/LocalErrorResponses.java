package io.hornbeamscale.gateway;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ErrorResponses;
import java.nio.charset.StandardCharsets;

/** The error responses that an entry generates itself. */
final class LocalErrorResponses {
    private static final int SERVICE_UNAVAILABLE = 503;

    private LocalErrorResponses() {}

    /**
     * Returns the HTTP status of an error, as in {@link ErrorAnswers} except for {@link ErrorKind#REQUEST_QUARANTINED}:
     * callers take a status of 4xx as a malformed request, and a request that crashed servers is well-formed.
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
