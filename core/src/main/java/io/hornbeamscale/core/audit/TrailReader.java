package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentJson;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads the audit records from the head back to a version, segment by segment. */
final class TrailReader {
    private final PublishedHead head;
    private final long lowestVersion;
    private final List<AuditRecord> newestFirst = new ArrayList<>();
    private String previous;

    TrailReader(PublishedHead head, long lowestVersion) {
        this.head = head;
        this.lowestVersion = lowestVersion;
        add(head.trail());
    }

    private void add(Trail<AuditRecord> trail) {
        List<AuditRecord> entries = trail.entries();
        long endVersion = newestFirst.isEmpty()
                ? Long.MAX_VALUE
                : newestFirst.get(newestFirst.size() - 1).version();
        for (int i = entries.size() - 1; i >= 0; i--) {
            if (entries.get(i).version() < endVersion) {
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

    /** Returns the call that reads the preceding segment; empty if the lowest version is reached or the trail ends. */
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

    /** Returns the records from the lowest version onward, newest first. */
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

    /** Returns the document of a version by undoing later changes; empty if the trail does not reach back to it. */
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
