package io.hornbeamscale.core.document;

import java.util.List;

/**
 * The result of reading a document.
 *
 * @param document the document, which may be published only if there are no problems; null if the text is not a map
 * @param problems all errors, empty if the document is valid
 */
public record DocumentReadResult(Document document, List<DocumentProblem> problems) {
    /** Copies the list and replaces null by empty. */
    public DocumentReadResult {
        problems = NullToEmpty.list(problems);
    }

    /**
     * Tells whether the document may be published.
     *
     * @return true if there are no errors
     */
    public boolean isValid() {
        return problems.isEmpty();
    }
}
