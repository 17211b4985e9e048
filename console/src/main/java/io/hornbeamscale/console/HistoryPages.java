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

/** Pages that show the published versions, roll back to an earlier version, and show other audit events. */
final class HistoryPages {
    private static final int MAX_RECORDS = 100;
    private static final int MAX_EVENTS = 500;
    private static final int STATUS_INVALID =
            ErrorResponses.of(ErrorKind.INVALID_DOCUMENT).httpStatus();

    private final DocumentAccess documents;
    private final PageRenderer renderer;

    HistoryPages(DocumentAccess documents, PageRenderer renderer) {
        this.documents = documents;
        this.renderer = renderer;
    }

    private ConsoleResponse page(int status, String name, PageModel model) {
        return ConsoleResponse.html(status, renderer.render(name, model.values()));
    }

    private static String formatTime(long wallMillis) {
        return Instant.ofEpochMilli(wallMillis).truncatedTo(ChronoUnit.SECONDS).toString();
    }

    ConsoleResponse list(RequestContext context) {
        HistoryResult.Read read = documents.read(0, MAX_RECORDS);
        List<Map<String, Object>> rows = read.records().stream()
                .map(record -> Map.<String, Object>of(
                        "record",
                        record,
                        "time",
                        formatTime(record.wallMillis()),
                        "count",
                        record.changes().size()))
                .toList();
        return page(
                200,
                "history",
                PageModel.of(context, "History").with("rows", rows).with("limit", MAX_RECORDS));
    }

    /** Shows a version, or rolls back to it if the rollback form was submitted. */
    ConsoleResponse version(RequestContext context, String text) {
        long version = text.matches("[0-9]{1,18}") ? Long.parseLong(text) : 0;
        HistoryResult.Read read = documents.read(version, 0);
        long current = read.head().version();
        if (version <= 0 || version > current || read.document().isEmpty()) {
            PageModel model = PageModel.of(context, "Not possible")
                    .with("message", "Version " + text + " does not exist, or the audit trail does not reach it.");
            return page(ErrorResponses.of(ErrorKind.NOT_FOUND).httpStatus(), "refused", model);
        }
        boolean isRollback = context.request().isPost() && context.request().hasField("rollback");
        if (!isRollback) {
            return versionPage(context, version, read, "", 200);
        }
        if (context.request().firstValue("why").isEmpty()) {
            return versionPage(context, version, read, "Say why, for the audit trail.", STATUS_INVALID);
        }
        return rollbackResult(context, version, read, documents.publish(context, null, version));
    }

    private ConsoleResponse versionPage(
            RequestContext context, long version, HistoryResult.Read read, String problem, int status) {
        long current = read.head().version();
        Document document = read.document().orElseThrow();
        DocumentDiff rollback = DocumentDiff.between(read.head().document(), document);
        HistoryResult.Read history = documents.read(0, (int) Math.min(Integer.MAX_VALUE, current - version + 1));
        Optional<AuditRecord> record = history.records().stream()
                .filter(entry -> entry.version() == version)
                .findFirst();
        PageModel model = PageModel.of(context, "Version " + version)
                .with("version", version)
                .with("expect", current)
                .with("record", record.orElse(null))
                .with(
                        "time",
                        record.map(entry -> formatTime(entry.wallMillis())).orElse(""))
                .with(
                        "lines",
                        record.map(entry -> ChangeFormatter.lines(entry.changes()))
                                .orElse(List.of()))
                .with("back", ChangeFormatter.lines(rollback))
                .with(
                        "warnings",
                        ChangeWarnings.of(rollback).stream()
                                .map(ChangeWarning::line)
                                .toList())
                .with("why", context.request().firstValue("why"))
                .with("isAccepted", context.request().hasField("accept"))
                .with("problem", problem);
        return page(status, "version", model);
    }

    private ConsoleResponse rollbackResult(
            RequestContext context, long version, HistoryResult.Read read, PublishResult result) {
        if (result instanceof PublishResult.Published published) {
            return ConsoleResponse.seeOther(Console.ROOT + "history/" + published.version());
        }
        if (result instanceof PublishResult.Conflict conflict) {
            HistoryResult.Read current = documents.read(version, 0);
            String text = "Another operator published version " + conflict.currentVersion()
                    + ". Nothing was rolled back. The comparison below is with that version.";
            return versionPage(
                    context,
                    version,
                    current,
                    text,
                    ErrorResponses.of(ErrorKind.VERSION_CONFLICT).httpStatus());
        }
        if (result instanceof PublishResult.NeedsAcceptance) {
            return versionPage(context, version, read, "Accept the warnings to roll back.", STATUS_INVALID);
        }
        if (result instanceof PublishResult.Invalid invalid) {
            String text = invalid.problems().stream()
                    .map(DocumentProblem::text)
                    .findFirst()
                    .orElse("");
            return versionPage(
                    context, version, read, "The old content is not valid any more. " + text, STATUS_INVALID);
        }
        if (result instanceof PublishResult.Failed failed) {
            int status = ErrorResponses.of(failed.kind()).httpStatus();
            return versionPage(context, version, read, failed.message(), status);
        }
        return versionPage(context, version, read, "The version in force has this content already.", 200);
    }

    ConsoleResponse events(RequestContext context) {
        Optional<List<AuditEvent>> events = documents.events();
        List<Map<String, Object>> rows = events.orElse(List.of()).stream()
                .limit(MAX_EVENTS)
                .map(event -> Map.<String, Object>of("event", event, "time", formatTime(event.wallMillis())))
                .toList();
        PageModel model =
                PageModel.of(context, "Audit events").with("rows", rows).with("isMissing", events.isEmpty());
        return page(events.isEmpty() ? 503 : 200, "audit", model);
    }
}
