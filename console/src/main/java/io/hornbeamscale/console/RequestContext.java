package io.hornbeamscale.console;

/**
 * A request of a signed-in operator with its session.
 *
 * @param request the request
 * @param session the session
 * @param csrfToken the CSRF token that the forms of the session contain
 * @param nowMillis the wall-clock time, in milliseconds since 1970
 */
record RequestContext(ConsoleRequest request, Session session, String csrfToken, long nowMillis) {}
