package io.hornbeamscale.core.quarantine;

import java.util.List;

/**
 * A quarantine update that entries exchange.
 *
 * @param reports new crash reports, not null
 * @param cleared suspects that completed without a crash, not null
 * @param quarantined newly quarantined requests, not null
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
