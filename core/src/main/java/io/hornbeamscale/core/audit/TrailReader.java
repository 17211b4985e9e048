package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentJson;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Collects audit records from the head back to a version, segment by segment. */
final class TrailReader {
    private final PublishedHead head;
    private final long lowestVersion;
    private final List<AuditRecord> newestFirst = new ArrayList<>();
    private String previous;

    TrailReader(PublishedHead head, long lowest) {
        this.head = head;
        this.lowestVersion = lowest;
        add(head.trail());
    }

    private void add(Trail<AuditRecord> trail) {
        List<AuditRecord> entries = trail.entries();
        long next = newestFirst.isEmpty()
                ? Long.MAX_VALUE
                : newestFirst.get(newestFirst.size() - 1).version();
        for (int i = entries.size() - 1; i >= 0; i--) {
            if (entries.get(i).version() < next) {
                newestFirst.add(entries.get(i));
            }
        }
        previous = trail.previous();
    }

    PublishedHead head() {
        return head;
    }

    private long oldestVersion() {
        return newestFirst.isEmpty()
                ? head.version() + 1
                : newestFirst.get(newestFirst.size() - 1).version();
    }

    /** Returns the call that fetches older records, empty if the walk is complete or the trail ends. */
    Optional<StoreCall> nextCall() {
        return oldestVersion() <= lowestVersion || previous.isEmpty()
                ? Optional.empty()
                : Optional.of(new StoreCall.Get(previous));
    }

    void onReply(StoreReply reply) {
        if (reply instanceof StoreReply.Found found) {
            add(Trail.fromTree(DocumentJson.parse(found.value()), AuditRecord.class));
        } else {
            previous = "";
        }
    }

    /** Returns the records from the lowest version on, newest first. */
    List<AuditRecord> records() {
        return newestFirst.stream()
                .filter(record -> record.version() >= lowestVersion)
                .toList();
    }

    Optional<AuditRecord> record(long version) {
        return newestFirst.stream()
                .filter(record -> record.version() == version)
                .findFirst();
    }

    /** Undoes changes back to a version; empty if the trail does not reach it. */
    Optional<Document> documentAt(long version) {
        Document document = head.document();
        long current = head.version();
        for (AuditRecord record : newestFirst) {
            if (record.version() <= version) {
                break;
            }
            if (record.version() != current) {
                return Optional.empty();
            }
            document = RecordedChange.undo(record.changes(), document);
            current--;
        }
        return current == version ? Optional.of(document) : Optional.empty();
    }
}
