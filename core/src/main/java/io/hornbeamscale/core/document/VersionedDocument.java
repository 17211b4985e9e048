package io.hornbeamscale.core.document;

import io.hornbeamscale.core.util.Arguments;

/**
 * A document and the version under which it was published.
 *
 * @param version the version, from 1, increasing with each publication; 0 for the empty document before the first one
 * @param document the document
 */
public record VersionedDocument(long version, Document document) {
    /** Checks the components. */
    public VersionedDocument {
        Arguments.notNegative(version, "version");
        Arguments.notNull(document, "document");
    }
}
