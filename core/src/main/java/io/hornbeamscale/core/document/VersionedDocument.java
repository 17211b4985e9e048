package io.hornbeamscale.core.document;

/**
 * A document with the version under which it was published.
 *
 * @param version the version, from 1; versions only rise
 * @param document the document
 */
public record VersionedDocument(long version, Document document) {}
