package io.hornbeamscale.daemon.explain;

import java.util.List;
import java.util.Optional;

/**
 * What the logs contain about one request.
 *
 * @param request the id of the request
 * @param path the lines about the request, ordered by the clock of the process that ended it
 * @param deciding the line that decided the outcome, empty if it is missing
 * @param knownStates the state of other components as the deciding process knew it at that moment
 * @param missing descriptions of what the logs should contain but do not
 */
record Explanation(
        String request,
        List<LogLine> path,
        Optional<LogLine> deciding,
        List<KnownState> knownStates,
        List<String> missing) {
    Explanation {
        path = List.copyOf(path);
        knownStates = List.copyOf(knownStates);
        missing = List.copyOf(missing);
    }

    /**
     * The state of a component as a process knew it, which may have been out of date.
     *
     * @param subject the component
     * @param state the known state
     * @param ageMillis how long before the decision the process had learned of the state, in milliseconds
     */
    record KnownState(String subject, String state, long ageMillis) {}
}
