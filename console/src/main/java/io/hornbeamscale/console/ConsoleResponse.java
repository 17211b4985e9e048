package io.hornbeamscale.console;

/**
 * A response of the console, independent of the HTTP server.
 *
 * @param status the HTTP status
 * @param contentType the content type
 * @param body the body
 * @param location the target of a redirect, null for none
 * @param cookie the new value of the session cookie, empty to remove it, null to leave it unchanged
 */
record ConsoleResponse(int status, String contentType, String body, String location, String cookie) {
    private static final int STATUS_SEE_OTHER = 303;

    static ConsoleResponse html(int status, String body) {
        return new ConsoleResponse(status, "text/html; charset=utf-8", body, null, null);
    }

    static ConsoleResponse seeOther(String location) {
        return new ConsoleResponse(STATUS_SEE_OTHER, "text/plain; charset=utf-8", "", location, null);
    }

    ConsoleResponse withCookie(String value) {
        return new ConsoleResponse(status, contentType, body, location, value);
    }
}
