package io.hornbeamscale.core.quarantine;

import io.hornbeamscale.core.util.Arguments;
import java.util.List;

/**
 * A crash of an engine and the content of the requests in flight, such as the parts of their prompts. Several entries
 * may report the same crash, each with the requests that it had sent.
 *
 * @param crashId identifies the crash in the reports of all entries, not blank
 * @param begun the content of requests whose responses had just begun; of one request, general parts come before
 *     specific ones, not null
 * @param waiting the content of requests without a response, in the same order, not null
 */
public record ContentCrashReport(String crashId, List<RequestFingerprint> begun, List<RequestFingerprint> waiting) {
    /** Checks and copies the parts. */
    public ContentCrashReport {
        Arguments.notBlank(crashId, "crashId");
        begun = List.copyOf(Arguments.notNull(begun, "begun"));
        waiting = List.copyOf(Arguments.notNull(waiting, "waiting"));
    }
}
