package io.hornbeamscale.core.route;

import io.hornbeamscale.core.util.Arguments;
import java.util.List;

/**
 * Where the requests of one host and path prefix go, and within which limits.
 *
 * @param name the name, unique in a document
 * @param host the host that callers name
 * @param prefix the start of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param targets the services with their weights, at least one
 * @param timeoutMillis the longest time until the final response, in milliseconds
 * @param objectiveMillis the time within which the first byte is on time, in milliseconds
 * @param gapObjectiveMillis the longest pause between two events that is on time, in milliseconds, 0 if not streaming
 * @param priority the rank, 0 is the most urgent
 * @param maxServers how many backend servers one request may be sent to, at least 1
 * @param isPublic whether requests carry no customer's key
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
        boolean isPublic) {
    /** Checks the parts. */
    public Route {
        Arguments.notBlank(host, "host");
        Arguments.notBlank(prefix, "prefix");
        Arguments.notNull(kind, "kind");
        targets = List.copyOf(targets);
        Arguments.positive(targets.size(), "targets");
        Arguments.positive(timeoutMillis, "timeoutMillis");
        Arguments.positive(maxServers, "maxServers");
    }

    /**
     * Selects the service for a request. Equal numbers select equal services.
     *
     * @param number a number that differs between requests, such as a hash of the request's id
     * @return the name of the service, never null
     */
    public String selectService(long number) {
        long total = 0;
        for (Target target : targets) {
            total += target.weight();
        }
        if (targets.size() == 1 || total <= 0) {
            return targets.get(0).service();
        }
        long left = Math.floorMod(number, total);
        for (Target target : targets) {
            left -= target.weight();
            if (left < 0) {
                return target.service();
            }
        }
        return targets.get(0).service();
    }

    /**
     * A service that takes a share of a route's requests.
     *
     * @param service the name of the service
     * @param weight the share, relative to the other targets of the route
     */
    public record Target(String service, long weight) {
        /** Checks the parts. */
        public Target {
            Arguments.notBlank(service, "service");
            Arguments.notNegative(weight, "weight");
        }
    }
}
