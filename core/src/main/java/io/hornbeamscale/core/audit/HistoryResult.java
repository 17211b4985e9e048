package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.error.ErrorKind;
import java.util.List;
import java.util.Optional;

/** The result of reading the document and its history with a {@link HistoryController}. */
public sealed interface HistoryResult {
    /**
     * The requested document and audit records.
     *
     * @param head the version in force; version 0 if nothing has been published
     * @param records the audit records, newest first
     * @param document the document of the requested version; empty if the trail does not reach back to it
     */
    record Read(PublishedHead head, List<AuditRecord> records, Optional<Document> document) implements HistoryResult {}

    /**
     * The store did not reply, or its content could not be decoded.
     *
     * @param kind {@link ErrorKind#STORE_UNAVAILABLE}, or {@link ErrorKind#INTERNAL} if the content could not be
     *     decoded
     * @param message a message for operators
     */
    record Failed(ErrorKind kind, String message) implements HistoryResult {}
}
