package io.hornbeamscale.core.hedge;

import io.hornbeamscale.core.util.Arguments;
import java.util.Set;

/**
 * A request that waits for the response to its latest send.
 *
 * @param service the service that runs it
 * @param customer the name of its customer, empty for none
 * @param isRepeatable whether it may run more than once
 * @param servers the ids of all servers that it was sent to
 * @param maxServers the maximum number of servers that it may be sent to
 * @param isResponseBegun whether a server has begun to respond
 * @param isHedged whether it was hedged before
 * @param sentAtMillis the time of the latest send, in milliseconds
 * @param estimateMillis the expected response time of the server of the latest send, in milliseconds
 * @param deadlineMillis when the response is due at the latest, in milliseconds
 */
public record HedgeRequest(
        String service,
        String customer,
        boolean isRepeatable,
        Set<String> servers,
        int maxServers,
        boolean isResponseBegun,
        boolean isHedged,
        long sentAtMillis,
        double estimateMillis,
        long deadlineMillis) {
    /** Checks the parts. */
    public HedgeRequest {
        Arguments.notBlank(service, "service");
        Arguments.notNull(customer, "customer");
        servers = Set.copyOf(servers);
    }
}
