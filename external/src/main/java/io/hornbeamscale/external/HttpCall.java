package io.hornbeamscale.external;

/**
 * An HTTP request as a value.
 *
 * @param method the method
 * @param path path and query
 * @param body the body, empty for none
 * @param isRepeatable whether the request may be sent again when its outcome is unknown
 * @param retriesRefusals whether a refused request is sent again within the budget
 * @param ifNoneMatch the entity tag of a known answer, empty for none
 * @param extraMillis time that the server may take on purpose, added to the time limits, in milliseconds
 */
record HttpCall(
        String method,
        String path,
        String body,
        boolean isRepeatable,
        boolean retriesRefusals,
        String ifNoneMatch,
        long extraMillis) {
    static HttpCall get(String path) {
        return new HttpCall("GET", path, "", true, true, "", 0);
    }

    static HttpCall post(String path, String body, boolean isRepeatable) {
        return new HttpCall("POST", path, body, isRepeatable, true, "", 0);
    }
}
