package io.hornbeamscale.core.quarantine;

import java.util.List;

/**
 * What entries tell each other.
 *
 * @param reports crashes, not null
 * @param cleared suspects that completed, not null
 * @param convictions convictions, not null
 */
public record QuarantineNews(
        List<CrashReport> reports, List<RequestFingerprint> cleared, List<Conviction> convictions) {
    /** Copies the parts. */
    public QuarantineNews {
        reports = List.copyOf(reports);
        cleared = List.copyOf(cleared);
        convictions = List.copyOf(convictions);
    }
}
