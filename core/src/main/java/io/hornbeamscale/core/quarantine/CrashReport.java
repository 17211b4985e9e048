package io.hornbeamscale.core.quarantine;

import io.hornbeamscale.core.util.Arguments;
import java.util.Set;

/**
 * A crash of an engine and the requests that were in flight.
 *
 * @param crashId the backend server, the agent's incarnation and the number of the crash, as one text, not blank
 * @param inFlight the fingerprints of the requests, not null
 */
public record CrashReport(String crashId, Set<RequestFingerprint> inFlight) {
    /** Checks and copies the parts. */
    public CrashReport {
        Arguments.notBlank(crashId, "crashId");
        inFlight = Set.copyOf(Arguments.notNull(inFlight, "inFlight"));
    }
}
