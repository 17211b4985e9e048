package io.hornbeamscale.console;

/**
 * A request of a signed-in operator.
 *
 * @param request the request
 * @param session the session
 * @param csrf the token that the session's forms carry
 * @param nowMillis the wall-clock time, in milliseconds since 1970
 */
record Visit(ConsoleRequest request, Session session, String csrf, long nowMillis) {}
