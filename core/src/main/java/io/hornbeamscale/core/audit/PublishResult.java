package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.document.ChangeWarning;
import io.hornbeamscale.core.document.DocumentDiff;
import io.hornbeamscale.core.document.DocumentProblem;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import java.util.List;

/** The result of publishing a change with a {@link PublishController}. */
public sealed interface PublishResult {
    /**
     * The change and its audit record were written to the store.
     *
     * @param version the new version
     * @param diff the change
     * @param warnings the accepted warnings
     */
    record Published(long version, DocumentDiff diff, List<ChangeWarning> warnings) implements PublishResult {}

    /**
     * The document is equal to the version in force; nothing was written.
     *
     * @param version the version in force
     */
    record Unchanged(long version) implements PublishResult {}

    /**
     * Another version was published since the change was prepared; nothing was written.
     *
     * @param expectedVersion the version that the change is based on
     * @param currentVersion the version in force
     * @param mine the rejected change, relative to the expected version
     * @param theirs the changes between the expected version and the version in force
     * @param overlap identifiers of the entities that both changes affect
     * @param records the audit records after the expected version, newest first
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
     * The change would disrupt running work and was not accepted explicitly; nothing was written.
     *
     * @param diff the change
     * @param warnings the warnings
     */
    record NeedsAcceptance(DocumentDiff diff, List<ChangeWarning> warnings) implements PublishResult {}

    /**
     * The store did not reply, or its content could not be decoded.
     *
     * @param kind {@link ErrorKind#STORE_UNAVAILABLE}, or {@link ErrorKind#INTERNAL} if the content could not be
     *     decoded
     * @param outcome {@link RunOutcome#NOT_RUN} if the change was not written and will not be, else
     *     {@link RunOutcome#UNKNOWN}
     * @param message a message for operators
     */
    record Failed(ErrorKind kind, RunOutcome outcome, String message) implements PublishResult {}
}
