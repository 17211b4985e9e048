package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.error.ErrorKind;
import java.util.List;
import java.util.Optional;

/** The result of reading the document and its history. */
public sealed interface HistoryResult {
    /**
     * The history as far as it was asked for.
     *
     * @param head the version in force; version 0 if nothing was published
     * @param records the audit records, newest first
     * @param document the document of the wanted version; empty if the trail does not reach it
     */
    record Read(PublishedHead head, List<AuditRecord> records, Optional<Document> document) implements HistoryResult {}

    /**
     * The store did not answer, or its content cannot be used.
     *
     * @param kind {@link ErrorKind#STORE_UNAVAILABLE}, or {@link ErrorKind#INTERNAL} if the content cannot be used
     * @param message what is known
     */
    record Failed(ErrorKind kind, String message) implements HistoryResult {}
}
