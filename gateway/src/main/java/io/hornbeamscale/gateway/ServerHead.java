package io.hornbeamscale.gateway;

import java.util.Optional;

/**
 * What the headers of a backend server's response say.
 *
 * @param requestId the id of the request that is answered, empty if it is missing
 * @param isNotRun whether the server states that it has not run the request
 * @param hasStamp whether the response bears the server's signature
 * @param serverId the id of the server, empty if it is missing
 * @param idleMillis how long the server keeps the connection without a request, in milliseconds, 0 if it does not say
 */
public record ServerHead(
        Optional<String> requestId, boolean isNotRun, boolean hasStamp, Optional<String> serverId, long idleMillis) {}
