package io.hornbeamscale.daemon.config;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamscale.core.audit.AuditRecord;
import io.hornbeamscale.core.audit.ChangeFormatter;
import io.hornbeamscale.core.audit.PublishResult;
import io.hornbeamscale.core.audit.RecordedChange;
import io.hornbeamscale.core.document.ChangeWarning;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentDiff;
import io.hornbeamscale.core.document.DocumentJson;
import io.hornbeamscale.core.document.DocumentProblem;
import io.hornbeamscale.core.document.DocumentYaml;
import io.hornbeamscale.core.error.ErrorKind;
import java.io.PrintStream;
import java.time.Instant;
import java.util.List;

/** Prints results as text or as one JSON object. Results go to standard output, errors to standard error. */
final class ConfigPrinter {
    private final boolean isJson;
    private final PrintStream out;
    private final PrintStream err;

    ConfigPrinter(boolean isJson, PrintStream out, PrintStream err) {
        this.isJson = isJson;
        this.out = out;
        this.err = err;
    }

    private static ObjectNode status(String status) {
        return DocumentJson.mapper().createObjectNode().put("status", status);
    }

    private void json(ObjectNode node) {
        out.println(DocumentJson.write(node));
    }

    void line(String text) {
        if (isJson) {
            json(status("ok").put("text", text));
        } else {
            out.println(text);
        }
    }

    void document(long version, Document document) {
        if (isJson) {
            ObjectNode node = status("ok").put("version", version);
            node.set("document", DocumentJson.tree(document));
            json(node);
        } else {
            out.println("# version " + version);
            out.print(DocumentYaml.write(document));
        }
    }

    int problems(List<DocumentProblem> problems) {
        if (isJson) {
            ObjectNode node = status(ErrorKind.INVALID_DOCUMENT.code());
            ArrayNode list = node.putArray("problems");
            problems.forEach(problem -> list.addObject()
                    .put("path", problem.path())
                    .put("value", problem.value())
                    .put("allowed", problem.allowed()));
            json(node);
        } else {
            err.println("The document has " + problems.size() + " error(s):");
            problems.forEach(problem -> err.println("  " + problem.text()));
        }
        return ExitStatus.INVALID_INPUT;
    }

    int failure(ErrorKind kind, String message) {
        if (isJson) {
            json(status(kind.code()).put("message", message));
        } else {
            err.println(kind.code() + ": " + message);
        }
        return ExitStatus.CONFLICT_OR_STORE;
    }

    int invalid(String message) {
        if (isJson) {
            json(status(ErrorKind.BAD_REQUEST.code()).put("message", message));
        } else {
            err.println(message);
        }
        return ExitStatus.INVALID_INPUT;
    }

    /** Prints a change with its warnings; version 0 means that the change is not published. */
    void change(String status, long version, DocumentDiff diff, List<ChangeWarning> warnings) {
        if (isJson) {
            ObjectNode node = status(status);
            if (version > 0) {
                node.put("version", version);
            }
            node.set("changes", changes(diff));
            ArrayNode list = node.putArray("warnings");
            warnings.forEach(warning -> list.add(warning.line()));
            json(node);
            return;
        }
        out.println(version > 0 ? status + " version " + version : status);
        ChangeFormatter.lines(diff).forEach(line -> out.println("  " + line));
        warnings.forEach(warning -> out.println("  warning: " + warning.line()));
    }

    private static ArrayNode changes(DocumentDiff diff) {
        return DocumentJson.mapper()
                .valueToTree(diff.changes().stream().map(RecordedChange::of).toList());
    }

    void history(long version, List<AuditRecord> records) {
        if (isJson) {
            ObjectNode node = status("ok").put("version", version);
            node.set("records", DocumentJson.mapper().valueToTree(records));
            json(node);
        } else {
            records.forEach(this::record);
        }
    }

    private void record(AuditRecord record) {
        out.println("version " + record.version() + " " + Instant.ofEpochMilli(record.wallMillis()) + " "
                + record.operator() + " from " + record.origin() + ": " + record.action() + " (" + record.why()
                + ") writer " + record.writer());
        ChangeFormatter.lines(record.changes()).forEach(line -> out.println("  " + line));
    }

    int conflict(PublishResult.Conflict conflict) {
        if (isJson) {
            ObjectNode node = status(ErrorKind.VERSION_CONFLICT.code())
                    .put("expected", conflict.expectedVersion())
                    .put("version", conflict.currentVersion());
            node.set("mine", changes(conflict.mine()));
            node.set("theirs", changes(conflict.theirs()));
            node.set("overlap", DocumentJson.mapper().valueToTree(conflict.overlap()));
            json(node);
            return ExitStatus.CONFLICT_OR_STORE;
        }
        err.println("version_conflict: version " + conflict.currentVersion() + " is in force, not "
                + conflict.expectedVersion() + ". Nothing was published.");
        for (AuditRecord record : conflict.records()) {
            err.println("  version " + record.version() + " by " + record.operator() + ": " + record.why());
        }
        err.println("Their changes since version " + conflict.expectedVersion() + ":");
        ChangeFormatter.lines(conflict.theirs()).forEach(line -> err.println("  " + line));
        err.println("Your changes:");
        ChangeFormatter.lines(conflict.mine()).forEach(line -> err.println("  " + line));
        err.println(
                conflict.overlap().isEmpty()
                        ? "No entity is changed by both. Repeat your change on the version in force."
                        : "Changed by both: " + String.join(", ", conflict.overlap()));
        return ExitStatus.CONFLICT_OR_STORE;
    }
}
