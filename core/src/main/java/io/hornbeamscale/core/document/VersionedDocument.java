package io.hornbeamscale.core.document;

import io.hornbeamscale.core.util.Arguments;

/**
 * A document with the version under which it was published.
 *
 * @param version the version, from 1; versions only rise; 0 stands for the empty document before the first version
 * @param document the document
 */
public record VersionedDocument(long version, Document document) {
    /** Checks the parts. */
    public VersionedDocument {
        Arguments.notNegative(version, "version");
        Arguments.notNull(document, "document");
    }
}
