package io.hornbeamscale.daemon;

import io.hornbeamscale.core.error.ErrorKind;

/** Maps the HTTP status of an engine's response to an error kind. */
final class EngineErrors {
    private EngineErrors() {}

    static ErrorKind kindOf(int status) {
        if (status == 429 || status == 503) {
            return ErrorKind.OVERLOADED;
        }
        return status >= 400 && status < 500 ? ErrorKind.BAD_REQUEST : ErrorKind.BACKEND_FAILED;
    }
}
