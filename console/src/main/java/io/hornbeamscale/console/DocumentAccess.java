package io.hornbeamscale.console;

import io.hornbeamscale.core.audit.AuditEvent;
import io.hornbeamscale.core.audit.AuditEventReader;
import io.hornbeamscale.core.audit.HistoryController;
import io.hornbeamscale.core.audit.HistoryResult;
import io.hornbeamscale.core.audit.PublishController;
import io.hornbeamscale.core.audit.PublishRequest;
import io.hornbeamscale.core.audit.PublishResult;
import io.hornbeamscale.core.audit.TrailLimits;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.error.ServingException;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

/** Reads and publishes the document for the console's pages. */
final class DocumentAccess {
    private final BlockingStoreClient store;
    private final SecureRandom random;

    DocumentAccess(BlockingStoreClient store, SecureRandom random) {
        this.store = store;
        this.random = random;
    }

    /**
     * Reads the document and its history.
     *
     * @param version the version of the document to return, 0 for the one in force
     * @param count the greatest number of audit records
     * @throws ServingException if the store does not respond, or its content cannot be used
     */
    HistoryResult.Read read(long version, int count) {
        HistoryResult result = store.run(new HistoryController(version, count, random));
        if (result instanceof HistoryResult.Failed failed) {
            throw new ServingException(failed.kind(), failed.message());
        }
        return (HistoryResult.Read) result;
    }

    Optional<List<AuditEvent>> events() {
        return store.run(new AuditEventReader());
    }

    /** Publishes a document, or the content of an earlier version if the document is null. */
    PublishResult publish(RequestContext context, Document document, long rollbackTo) {
        PublishRequest request = new PublishRequest(
                UUID.randomUUID().toString(),
                context.session().operator(),
                "console at " + context.request().client(),
                context.nowMillis(),
                context.request().firstValue("why"),
                context.request().numberValue("expect"),
                document,
                rollbackTo,
                context.request().hasField("accept"));
        return store.run(new PublishController(request, TrailLimits.STORE, random));
    }
}
