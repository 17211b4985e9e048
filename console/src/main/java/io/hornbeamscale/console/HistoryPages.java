package io.hornbeamscale.console;

import io.hornbeamscale.core.audit.AuditEvent;
import io.hornbeamscale.core.audit.AuditRecord;
import io.hornbeamscale.core.audit.ChangeFormatter;
import io.hornbeamscale.core.audit.HistoryResult;
import io.hornbeamscale.core.audit.PublishResult;
import io.hornbeamscale.core.document.ChangeWarning;
import io.hornbeamscale.core.document.ChangeWarnings;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentDiff;
import io.hornbeamscale.core.document.DocumentProblem;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ErrorResponses;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Shows who published what, rolls back to an older version, and shows other audit events. */
final class HistoryPages {
    private static final int RECORDS = 100;
    private static final int EVENTS = 500;
    private static final int INVALID =
            ErrorResponses.of(ErrorKind.INVALID_DOCUMENT).httpStatus();

    private final DocumentAccess documents;
    private final Pages pages;

    HistoryPages(DocumentAccess documents, Pages pages) {
        this.documents = documents;
        this.pages = pages;
    }

    private ConsoleResponse page(int status, String name, Model model) {
        return ConsoleResponse.html(status, pages.render(name, model.values()));
    }

    private static String time(long wallMillis) {
        return Instant.ofEpochMilli(wallMillis).truncatedTo(ChronoUnit.SECONDS).toString();
    }

    ConsoleResponse list(Visit visit) {
        HistoryResult.Read read = documents.read(0, RECORDS);
        List<Map<String, Object>> rows = read.records().stream()
                .map(record -> Map.<String, Object>of(
                        "record",
                        record,
                        "time",
                        time(record.wallMillis()),
                        "count",
                        record.changes().size()))
                .toList();
        return page(
                200, "history", Model.of(visit, "History").with("rows", rows).with("limit", RECORDS));
    }

    /** Shows a version; a form sent here rolls back to it. */
    ConsoleResponse version(Visit visit, String text) {
        long version = text.matches("[0-9]{1,18}") ? Long.parseLong(text) : 0;
        HistoryResult.Read read = documents.read(version, 0);
        long current = read.head().version();
        if (version <= 0 || version > current || read.document().isEmpty()) {
            Model model = Model.of(visit, "Not possible")
                    .with("message", "Version " + text + " does not exist, or the audit trail does not reach it.");
            return page(ErrorResponses.of(ErrorKind.NOT_FOUND).httpStatus(), "refused", model);
        }
        boolean isRollback = visit.request().isPost() && visit.request().has("rollback");
        if (!isRollback) {
            return show(visit, version, read, "", 200);
        }
        if (visit.request().first("why").isEmpty()) {
            return show(visit, version, read, "Say why, for the audit trail.", INVALID);
        }
        return report(visit, version, read, documents.publish(visit, null, version));
    }

    private ConsoleResponse show(Visit visit, long version, HistoryResult.Read read, String problem, int status) {
        long current = read.head().version();
        Document document = read.document().orElseThrow();
        DocumentDiff back = DocumentDiff.between(read.head().document(), document);
        HistoryResult.Read history = documents.read(0, (int) Math.min(Integer.MAX_VALUE, current - version + 1));
        Optional<AuditRecord> record = history.records().stream()
                .filter(entry -> entry.version() == version)
                .findFirst();
        Model model = Model.of(visit, "Version " + version)
                .with("version", version)
                .with("expect", current)
                .with("record", record.orElse(null))
                .with("time", record.map(entry -> time(entry.wallMillis())).orElse(""))
                .with(
                        "lines",
                        record.map(entry -> ChangeFormatter.lines(entry.changes()))
                                .orElse(List.of()))
                .with("back", ChangeFormatter.lines(back))
                .with(
                        "warnings",
                        ChangeWarnings.of(back).stream()
                                .map(ChangeWarning::line)
                                .toList())
                .with("why", visit.request().first("why"))
                .with("isAccepted", visit.request().has("accept"))
                .with("problem", problem);
        return page(status, "version", model);
    }

    private ConsoleResponse report(Visit visit, long version, HistoryResult.Read read, PublishResult result) {
        if (result instanceof PublishResult.Published done) {
            return ConsoleResponse.seeOther(Console.ROOT + "history/" + done.version());
        }
        if (result instanceof PublishResult.Conflict conflict) {
            HistoryResult.Read now = documents.read(version, 0);
            String text = "Another operator published version " + conflict.currentVersion()
                    + ". Nothing was rolled back. The comparison below is with that version.";
            return show(
                    visit,
                    version,
                    now,
                    text,
                    ErrorResponses.of(ErrorKind.VERSION_CONFLICT).httpStatus());
        }
        if (result instanceof PublishResult.NeedsAcceptance) {
            return show(visit, version, read, "Accept the warnings to roll back.", INVALID);
        }
        if (result instanceof PublishResult.Invalid invalid) {
            String text = invalid.problems().stream()
                    .map(DocumentProblem::text)
                    .findFirst()
                    .orElse("");
            return show(visit, version, read, "The old content is not valid any more. " + text, INVALID);
        }
        if (result instanceof PublishResult.Failed failed) {
            int status = ErrorResponses.of(failed.kind()).httpStatus();
            return show(visit, version, read, failed.message(), status);
        }
        return show(visit, version, read, "The version in force has this content already.", 200);
    }

    ConsoleResponse events(Visit visit) {
        Optional<List<AuditEvent>> events = documents.events();
        List<Map<String, Object>> rows = events.orElse(List.of()).stream()
                .limit(EVENTS)
                .map(event -> Map.<String, Object>of("event", event, "time", time(event.wallMillis())))
                .toList();
        Model model = Model.of(visit, "Audit events").with("rows", rows).with("isMissing", events.isEmpty());
        return page(events.isEmpty() ? 503 : 200, "audit", model);
    }
}
