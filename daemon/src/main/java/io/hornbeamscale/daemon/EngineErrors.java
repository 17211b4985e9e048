package io.hornbeamscale.daemon;

import io.hornbeamscale.core.error.ErrorKind;

/** Error kinds of the HTTP statuses that engines answer with. */
final class EngineErrors {
    private EngineErrors() {}

    static ErrorKind kindOf(int status) {
        if (status == 429 || status == 503) {
            return ErrorKind.OVERLOADED;
        }
        return status >= 400 && status < 500 ? ErrorKind.BAD_REQUEST : ErrorKind.BACKEND_FAILED;
    }
}
