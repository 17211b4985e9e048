package io.hornbeamscale.external;

/** The outcome of one attempt of an HTTP request. */
sealed interface HttpOutcome {
    /**
     * The server responded.
     *
     * @param status the HTTP status
     * @param retryAfterMillis the value of the Retry-After header, in milliseconds, 0 for none
     * @param etag the entity tag, empty for none
     * @param body the body
     */
    record Answered(int status, long retryAfterMillis, String etag, String body) implements HttpOutcome {
        /** Returns whether the server refused the request without executing it. */
        boolean isRefusal() {
            return status == 429 || status == 503;
        }
    }

    /**
     * The request was not sent.
     *
     * @param reason the reason
     */
    record NotSent(String reason) implements HttpOutcome {}

    /**
     * The request was sent, at least in part, but no complete response arrived.
     *
     * @param reason the reason
     */
    record Lost(String reason) implements HttpOutcome {}
}
