package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.util.Arguments;

/**
 * A change that an operator wants to publish.
 *
 * @param writer an id that is unique for this write, not blank
 * @param operator the name of the operator, not blank
 * @param origin where the operator publishes, as in {@link AuditRecord#origin()}; null becomes empty
 * @param wallMillis the wall-clock time, in milliseconds since 1970
 * @param why the reason, cut to {@value #MAX_WHY_CHARS} characters; null becomes empty
 * @param expectedVersion the version that the change is based on, 0 for the first document
 * @param document the new document; null for a rollback
 * @param rollbackTo the version whose content is to be published again; 0 if a document is given
 * @param acceptsWarnings whether the operator has accepted the warnings
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
     * The maximum length of a reason in characters, since many records share one value of the store of at most 1 MB.
     */
    public static final int MAX_WHY_CHARS = 1_000;

    /** Checks the components, cuts a long reason and replaces null texts by empty ones. */
    public PublishRequest {
        Arguments.notBlank(writer, "writer");
        Arguments.notBlank(operator, "operator");
        Arguments.notNegative(expectedVersion, "expectedVersion");
        Arguments.notNegative(rollbackTo, "rollbackTo");
        origin = origin == null ? "" : origin;
        why = why == null ? "" : why;
        why = why.length() <= MAX_WHY_CHARS ? why : why.substring(0, MAX_WHY_CHARS);
        if ((document == null) == (rollbackTo == 0)) {
            throw new IllegalArgumentException("either document or rollbackTo must be given");
        }
    }

    /**
     * Returns the name of the action in the audit record.
     *
     * @return {@code publish}, or {@code rollback to} with the version, never null
     */
    String action() {
        return document == null ? "rollback to " + rollbackTo : "publish";
    }
}
