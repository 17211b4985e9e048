package io.hornbeamscale.core.quarantine;

import java.util.List;

/**
 * What entries tell each other.
 *
 * @param reports crashes, not null
 * @param cleared suspects that completed, not null
 * @param quarantined convictions, not null
 */
public record QuarantineUpdate(
        List<CrashReport> reports, List<RequestFingerprint> cleared, List<QuarantinedRequest> quarantined) {
    /** Copies the parts. */
    public QuarantineUpdate {
        reports = List.copyOf(reports);
        cleared = List.copyOf(cleared);
        quarantined = List.copyOf(quarantined);
    }
}
