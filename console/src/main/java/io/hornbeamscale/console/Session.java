package io.hornbeamscale.console;

/**
 * A signed-in operator.
 *
 * @param operator the name of the operator
 * @param id a random id of the session
 * @param startedMillis when the operator signed in, in milliseconds since 1970
 * @param expiresMillis when the session ends without further requests, in milliseconds since 1970
 */
record Session(String operator, String id, long startedMillis, long expiresMillis) {}
