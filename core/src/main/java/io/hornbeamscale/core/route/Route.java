package io.hornbeamscale.core.route;

import io.hornbeamscale.core.util.Arguments;
import java.util.List;

/**
 * The target services and the limits of the requests for one host and path prefix.
 *
 * @param name the name, unique in a document
 * @param host the host name in the request
 * @param prefix the path prefix, with a slash at both ends
 * @param kind whether and how requests may be executed again
 * @param targets the services with their weights, at least one
 * @param timeoutMillis the maximum time until the complete response, in milliseconds
 * @param objectiveMillis the objective for the time to the first byte, in milliseconds
 * @param gapObjectiveMillis the objective for the gap between two events, in milliseconds, 0 if not streaming
 * @param priority the priority, 0 is the most urgent
 * @param maxServers the maximum number of backend servers that one request may be sent to, at least 1
 * @param isPublic whether requests need no customer key
 * @param allowedRegions the regions in which requests may be served
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        List<Target> targets,
        long timeoutMillis,
        long objectiveMillis,
        long gapObjectiveMillis,
        int priority,
        int maxServers,
        boolean isPublic,
        AllowedRegions allowedRegions) {
    /** Checks the parts. */
    public Route {
        Arguments.notBlank(host, "host");
        Arguments.notBlank(prefix, "prefix");
        Arguments.notNull(kind, "kind");
        targets = List.copyOf(targets);
        Arguments.positive(targets.size(), "targets");
        Arguments.positive(timeoutMillis, "timeoutMillis");
        Arguments.positive(maxServers, "maxServers");
        Arguments.notNull(allowedRegions, "allowedRegions");
    }

    /**
     * Creates a route whose requests may be served in every region.
     *
     * @param name the name, unique in a document
     * @param host the host name in the request
     * @param prefix the path prefix, with a slash at both ends
     * @param kind whether and how requests may be executed again
     * @param targets the services with their weights, at least one
     * @param timeoutMillis the maximum time until the complete response, in milliseconds
     * @param objectiveMillis the objective for the time to the first byte, in milliseconds
     * @param gapObjectiveMillis the objective for the gap between two events, in milliseconds, 0 if not streaming
     * @param priority the priority, 0 is the most urgent
     * @param maxServers the maximum number of backend servers that one request may be sent to, at least 1
     * @param isPublic whether requests need no customer key
     */
    public Route(
            String name,
            String host,
            String prefix,
            RequestKind kind,
            List<Target> targets,
            long timeoutMillis,
            long objectiveMillis,
            long gapObjectiveMillis,
            int priority,
            int maxServers,
            boolean isPublic) {
        this(
                name,
                host,
                prefix,
                kind,
                targets,
                timeoutMillis,
                objectiveMillis,
                gapObjectiveMillis,
                priority,
                maxServers,
                isPublic,
                AllowedRegions.ANY);
    }

    /**
     * Selects the service for a request by the weights of the targets. Equal hashes select the same service. If the sum
     * of the weights is 0, the first target is selected.
     *
     * @param requestHash a number that differs between requests, such as a hash of the request id
     * @return the name of the service, never null
     */
    public String selectService(long requestHash) {
        long total = 0;
        for (Target target : targets) {
            total += target.weight();
        }
        if (targets.size() == 1 || total <= 0) {
            return targets.get(0).service();
        }
        long remaining = Math.floorMod(requestHash, total);
        for (Target target : targets) {
            remaining -= target.weight();
            if (remaining < 0) {
                return target.service();
            }
        }
        return targets.get(0).service();
    }

    /**
     * A service that receives a share of the requests of a route.
     *
     * @param service the name of the service
     * @param weight the share, relative to the other targets of the route, not negative
     */
    public record Target(String service, long weight) {
        /** Checks the parts. */
        public Target {
            Arguments.notBlank(service, "service");
            Arguments.notNegative(weight, "weight");
        }
    }
}
