package io.hornbeamscale.gateway;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * The decoded headers of a backend server's response.
 *
 * @param requestId the id of the request that the response belongs to, empty if it is missing
 * @param statesNotRun whether the server states that it has not run the request
 * @param hasSignature whether the response has the server's signature
 * @param serverId the id of the server, empty if it is missing
 * @param idleTimeoutMillis how long the server keeps an idle connection, in milliseconds, 0 if unknown
 * @param requestLimit how many requests a second the server takes from all entries together, empty if it names no limit
 * @param isLeaving whether the server announces that it leaves
 * @param pauseMillis for how long the server that refuses a request wants no other, in milliseconds, empty if it does
 *     not tell
 * @param coldMillis how much longer the server is cold, in milliseconds, empty if it does not tell
 * @param workPercent how long work takes on the server at the moment, in percent of the usual time, 0 if it does not
 *     tell
 * @param malformed the names of headers whose value cannot be used, separated by commas, empty if there is none
 */
public record BackendResponseHead(
        Optional<String> requestId,
        boolean statesNotRun,
        boolean hasSignature,
        Optional<String> serverId,
        long idleTimeoutMillis,
        OptionalDouble requestLimit,
        boolean isLeaving,
        OptionalDouble pauseMillis,
        OptionalLong coldMillis,
        int workPercent,
        String malformed) {}
