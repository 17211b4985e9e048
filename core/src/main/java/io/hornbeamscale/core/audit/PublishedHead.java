package io.hornbeamscale.core.audit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentJson;
import io.hornbeamscale.core.document.VersionedDocument;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ServingException;

/**
 * The value of the document's key in the store. Version, document, writer id and newest audit records are a single
 * value, so that one compare-and-swap writes them atomically.
 *
 * @param version the version in force, 0 if nothing has been published
 * @param writer the id of the write that published this version, empty for version 0
 * @param document the document
 * @param trail the newest audit records; the last one belongs to this version
 */
public record PublishedHead(long version, String writer, Document document, Trail<AuditRecord> trail) {
    /** The key of this value in the platform's store. */
    public static final String KEY = "config/document";

    /** The prefix of the keys of segments, which hold older audit records. */
    public static final String SEGMENT_PREFIX = "config/trail/";

    private static final int FORMAT = 1;

    /**
     * Returns the state before the first version.
     *
     * @return an empty document with version 0, never null
     */
    public static PublishedHead none() {
        return new PublishedHead(0, "", Document.empty(), Trail.empty());
    }

    /**
     * Returns the document with its version.
     *
     * @return the versioned document, never null
     */
    public VersionedDocument versioned() {
        return new VersionedDocument(version, document);
    }

    /**
     * Returns the state after a change.
     *
     * @param next the changed document, not null
     * @param record the audit record of the change, not null
     * @return the state with the next version, never null
     */
    PublishedHead with(Document next, AuditRecord record) {
        return new PublishedHead(record.version(), record.writer(), next, trail.with(record));
    }

    /**
     * Encodes the value for the store.
     *
     * @return JSON, never null
     */
    public String encode() {
        ObjectNode tree = DocumentJson.mapper().createObjectNode();
        tree.put("format", FORMAT);
        tree.put("version", version);
        tree.put("writer", writer);
        tree.set("document", DocumentJson.tree(document));
        tree.set("trail", trail.toTree());
        return DocumentJson.write(tree);
    }

    /**
     * Decodes a value from the store.
     *
     * @param text the text from the store, not null
     * @return the state, never null
     * @throws ServingException with {@link ErrorKind#INVALID_DOCUMENT} if the text cannot be decoded
     */
    public static PublishedHead decode(String text) {
        JsonNode tree = DocumentJson.parse(text);
        if (tree.path("format").asInt() != FORMAT) {
            throw new ServingException(
                    ErrorKind.INVALID_DOCUMENT,
                    KEY + " has format " + tree.path("format").asText() + "; this release reads format " + FORMAT);
        }
        return new PublishedHead(
                tree.path("version").asLong(),
                tree.path("writer").asText(),
                DocumentJson.read(tree.path("document")),
                Trail.fromTree(tree.path("trail"), AuditRecord.class));
    }
}
