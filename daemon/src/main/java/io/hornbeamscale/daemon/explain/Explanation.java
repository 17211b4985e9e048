package io.hornbeamscale.daemon.explain;

import java.util.List;
import java.util.Optional;

/**
 * What the logs say about one request.
 *
 * @param request the id of the request
 * @param path the lines about the request, in order on the clock of the process that ended it
 * @param deciding the line that decided the outcome, empty if it is missing
 * @param beliefs what the deciding process believed at that moment
 * @param missing what the logs should contain and do not
 */
record Explanation(
        String request, List<LogLine> path, Optional<LogLine> deciding, List<Belief> beliefs, List<String> missing) {
    Explanation {
        path = List.copyOf(path);
        beliefs = List.copyOf(beliefs);
        missing = List.copyOf(missing);
    }

    /**
     * Something that a process believed.
     *
     * @param subject what it is about
     * @param state what was believed
     * @param ageMillis how long before the decision the process had learned it, in milliseconds
     */
    record Belief(String subject, String state, long ageMillis) {}
}
