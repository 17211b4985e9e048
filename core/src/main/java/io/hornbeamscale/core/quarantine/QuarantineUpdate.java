package io.hornbeamscale.core.quarantine;

import java.util.List;

/**
 * A quarantine update that entries exchange.
 *
 * @param reports new crash reports, not null
 * @param cleared suspects, requests as well as content, that completed without a crash, not null
 * @param quarantined newly quarantined requests and content, not null
 * @param contentReports new crash reports with the content of the requests in flight, not null
 */
public record QuarantineUpdate(
        List<CrashReport> reports,
        List<RequestFingerprint> cleared,
        List<QuarantinedRequest> quarantined,
        List<ContentCrashReport> contentReports) {
    /** Copies the parts. */
    public QuarantineUpdate {
        reports = List.copyOf(reports);
        cleared = List.copyOf(cleared);
        quarantined = List.copyOf(quarantined);
        contentReports = List.copyOf(contentReports);
    }
}
