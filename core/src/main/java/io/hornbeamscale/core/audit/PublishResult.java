package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.document.ChangeWarning;
import io.hornbeamscale.core.document.DocumentDiff;
import io.hornbeamscale.core.document.DocumentProblem;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import java.util.List;

/** The result of publishing. */
public sealed interface PublishResult {
    /**
     * The change is in the store with its audit record.
     *
     * @param version the version
     * @param diff the change
     * @param warnings the accepted warnings
     */
    record Published(long version, DocumentDiff diff, List<ChangeWarning> warnings) implements PublishResult {}

    /**
     * The document has the content of the version in force; nothing was written.
     *
     * @param version the version in force
     */
    record Unchanged(long version) implements PublishResult {}

    /**
     * Another operator published first; nothing was written.
     *
     * @param expectedVersion the version that the operator had seen
     * @param currentVersion the version in force
     * @param mine the change that was refused, compared with the version that the operator had seen
     * @param theirs what changed since the version that the operator had seen
     * @param overlap identities of entities that both changed
     * @param records the audit records since the version that the operator had seen, newest first
     */
    record Conflict(
            long expectedVersion,
            long currentVersion,
            DocumentDiff mine,
            DocumentDiff theirs,
            List<String> overlap,
            List<AuditRecord> records)
            implements PublishResult {}

    /**
     * The document has errors; nothing was written.
     *
     * @param problems the errors
     */
    record Invalid(List<DocumentProblem> problems) implements PublishResult {}

    /**
     * The change would strand running work; nothing was written until the operator accepts it.
     *
     * @param diff the change
     * @param warnings the warnings
     */
    record NeedsAcceptance(DocumentDiff diff, List<ChangeWarning> warnings) implements PublishResult {}

    /**
     * The store did not answer, or its content cannot be used.
     *
     * @param kind {@link ErrorKind#STORE_UNAVAILABLE}, or {@link ErrorKind#INTERNAL} if the content cannot be used
     * @param outcome {@link RunOutcome#NOT_RUN} if nothing was or will be written, else {@link RunOutcome#UNKNOWN}
     * @param message what is known
     */
    record Failed(ErrorKind kind, RunOutcome outcome, String message) implements PublishResult {}
}
