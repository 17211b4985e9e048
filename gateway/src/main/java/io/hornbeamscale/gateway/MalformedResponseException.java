package io.hornbeamscale.gateway;

import io.hornbeamscale.core.util.Arguments;
import java.io.IOException;

/**
 * A response is not valid HTTP, or exceeds a limit. Its server is faulty, but has not crashed: this process gives up
 * the response, while the server still sends.
 */
public final class MalformedResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong with the response, not null
     */
    public MalformedResponseException(String message) {
        super(Arguments.notNull(message, "message"));
    }

    /**
     * Creates an exception for a response that cannot be parsed.
     *
     * @param cause the error of the parser, not null
     */
    public MalformedResponseException(IOException cause) {
        super(Arguments.notNull(cause, "cause").getMessage(), cause);
    }
}
