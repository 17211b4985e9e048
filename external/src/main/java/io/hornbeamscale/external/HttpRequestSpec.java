package io.hornbeamscale.external;

/**
 * The description of an HTTP request, from which each attempt is made.
 *
 * @param method the method
 * @param path path and query
 * @param body the body, empty for none
 * @param isRepeatable whether the request may be sent again if its outcome is unknown
 * @param retriesRefusals whether a refused request is sent again until the call times out
 * @param ifNoneMatch the entity tag of a cached response, empty for none
 * @param serverWaitMillis how long the server may deliberately wait, added to the timeouts, in milliseconds
 */
record HttpRequestSpec(
        String method,
        String path,
        String body,
        boolean isRepeatable,
        boolean retriesRefusals,
        String ifNoneMatch,
        long serverWaitMillis) {
    static HttpRequestSpec get(String path) {
        return new HttpRequestSpec("GET", path, "", true, true, "", 0);
    }

    static HttpRequestSpec post(String path, String body, boolean isRepeatable) {
        return new HttpRequestSpec("POST", path, body, isRepeatable, true, "", 0);
    }
}
