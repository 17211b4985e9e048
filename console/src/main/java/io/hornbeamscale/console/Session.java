package io.hornbeamscale.console;

/**
 * The session of a signed-in operator.
 *
 * @param operator the name of the operator
 * @param id the random id of the session
 * @param startedMillis when the operator signed in, in milliseconds since 1970
 * @param expiresMillis when the session ends if there are no further requests, in milliseconds since 1970
 */
record Session(String operator, String id, long startedMillis, long expiresMillis) {}
