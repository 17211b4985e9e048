package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.util.Arguments;

/**
 * A change of the configuration document that an operator wants to publish.
 *
 * @param writer a unique id of this request, by which its audit record is found again, not blank
 * @param operator the name of the operator, not blank
 * @param origin from where the operator publishes, as in {@link AuditRecord#origin()}; null becomes empty
 * @param wallMillis the wall-clock time of the publishing process, in milliseconds since 1970
 * @param why the operator's reason for the change, truncated to {@value #MAX_WHY_CHARS} characters; null becomes empty
 * @param expectedVersion the version that the change is based on, 0 for the first document; the change is published
 *     only if this version is still the current one
 * @param document the new document; null for a rollback
 * @param rollbackTo the version whose content is to be published again; 0 if a document is given
 * @param acceptsWarnings whether to publish the change even if its check reports warnings
 */
public record PublishRequest(
        String writer,
        String operator,
        String origin,
        long wallMillis,
        String why,
        long expectedVersion,
        Document document,
        long rollbackTo,
        boolean acceptsWarnings) {
    /**
     * The maximum length of the reason in characters. The reason is limited because many audit records are stored in
     * one value of the store, which has at most 1 MB.
     */
    public static final int MAX_WHY_CHARS = 1_000;

    /** Checks the components, truncates a long reason and replaces a null origin or reason by an empty text. */
    public PublishRequest {
        Arguments.notBlank(writer, "writer");
        Arguments.notBlank(operator, "operator");
        Arguments.notNegative(expectedVersion, "expectedVersion");
        Arguments.notNegative(rollbackTo, "rollbackTo");
        origin = origin == null ? "" : origin;
        why = why == null ? "" : why;
        why = why.length() <= MAX_WHY_CHARS ? why : why.substring(0, MAX_WHY_CHARS);
        if ((document == null) == (rollbackTo == 0)) {
            throw new IllegalArgumentException("exactly one of document and rollbackTo must be given");
        }
    }

    /**
     * Returns the action as written to the audit record.
     *
     * @return {@code publish}, or {@code rollback to} followed by the version, never null
     */
    String action() {
        return document == null ? "rollback to " + rollbackTo : "publish";
    }
}
