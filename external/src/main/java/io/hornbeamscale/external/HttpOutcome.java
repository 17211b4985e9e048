package io.hornbeamscale.external;

/** How one attempt of an HTTP call ended. */
sealed interface HttpOutcome {
    /**
     * The server answered.
     *
     * @param status the HTTP status
     * @param retryAfterMillis the advised pause in milliseconds, 0 for none
     * @param etag the entity tag, empty for none
     * @param body the body
     */
    record Answered(int status, long retryAfterMillis, String etag, String body) implements HttpOutcome {
        /** Returns whether the server refused the request before it took effect. */
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
     * The request was sent, at least in part, and no answer arrived.
     *
     * @param reason the reason
     */
    record Lost(String reason) implements HttpOutcome {}
}
