package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.util.Arguments;

/**
 * What an operator wants to publish.
 *
 * @param writer an id that no other write has, not blank
 * @param operator the operator, not blank
 * @param origin from where the operator publishes
 * @param wallMillis the wall-clock time, in milliseconds since 1970
 * @param why the reason, may be empty
 * @param expectedVersion the version that the operator has seen, 0 for the first document
 * @param document the new document; null for a rollback
 * @param rollbackTo the version whose content is published again; 0 if a document is given
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
    /** The greatest length of a reason in characters; longer reasons are cut, since records share 1 MB values. */
    public static final int MAX_WHY_CHARS = 1_000;

    /** Checks the parts. */
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
     * Returns what the audit record calls the action.
     *
     * @return the action, never null
     */
    String action() {
        return document == null ? "rollback to " + rollbackTo : "publish";
    }
}
