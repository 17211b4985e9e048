package io.hornbeamscale.console;

import io.hornbeamscale.core.audit.AuditRecord;
import io.hornbeamscale.core.audit.ChangeFormatter;
import io.hornbeamscale.core.audit.HistoryResult;
import io.hornbeamscale.core.audit.PublishResult;
import io.hornbeamscale.core.document.ChangeWarning;
import io.hornbeamscale.core.document.ChangeWarnings;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentDiff;
import io.hornbeamscale.core.document.DocumentProblem;
import io.hornbeamscale.core.document.DocumentReadResult;
import io.hornbeamscale.core.document.EntityField;
import io.hornbeamscale.core.document.EntityKind;
import io.hornbeamscale.core.document.FieldType;
import io.hornbeamscale.core.document.Sha256;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ErrorResponses;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Lists entities, edits one by a form, compares, and publishes. Unpublished input travels in the forms. */
final class EditPages {
    private static final String NEW_KEY = "newKey";
    private static final String NEW = "new";
    private static final int KEY_BYTES = 32;
    private static final int MAX_RECORDS = 50;
    private static final int INVALID =
            ErrorResponses.of(ErrorKind.INVALID_DOCUMENT).httpStatus();
    private static final int CONFLICT =
            ErrorResponses.of(ErrorKind.VERSION_CONFLICT).httpStatus();

    private final DocumentAccess documents;
    private final Pages pages;
    private final SecureRandom random;

    EditPages(DocumentAccess documents, Pages pages, SecureRandom random) {
        this.documents = documents;
        this.pages = pages;
        this.random = random;
    }

    ConsoleResponse overview(Visit visit) {
        HistoryResult.Read read = documents.read(0, 1);
        Map<String, Integer> counts = new HashMap<>();
        Section.list()
                .forEach(section -> counts.put(
                        section.key(), section.entries(read.head().document()).size()));
        Model model = Model.of(visit, "Overview")
                .with("version", read.head().version())
                .with("counts", counts)
                .with("latest", read.records());
        return page(200, "overview", model);
    }

    private ConsoleResponse page(int status, String name, Model model) {
        return ConsoleResponse.html(status, pages.render(name, model.values()));
    }

    ConsoleResponse list(Visit visit, Section section) {
        HistoryResult.Read read = documents.read(0, 0);
        List<EntityField> fields = section.fields();
        List<List<String>> rows = new ArrayList<>();
        for (Record entry : section.entries(read.head().document())) {
            rows.add(fields.stream().map(field -> cell(field, entry)).toList());
        }
        Model model = Model.of(visit, section.title())
                .with("section", section)
                .with("version", read.head().version())
                .with(
                        "columns",
                        fields.stream()
                                .map(field -> FormViews.label(field.name()))
                                .toList())
                .with("rows", rows);
        return page(200, "list", model);
    }

    private static String cell(EntityField field, Record entry) {
        List<String> texts = field.textsOf(entry);
        if (field.type() == FieldType.FLAG) {
            return texts.get(0).equals("true") ? "yes" : "no";
        }
        return field.name().equals("keyHashes") ? Integer.toString(texts.size()) : String.join(", ", texts);
    }

    /** Opens the form of an entity; empty if there is none of this name. */
    Optional<ConsoleResponse> open(Visit visit, Section section, String name) {
        HistoryResult.Read read = documents.read(0, 0);
        Document document = read.head().document();
        boolean isNew = section.isList() && name.equals(NEW);
        Optional<Record> entity = isNew ? Optional.empty() : section.find(document, name);
        if (entity.isEmpty() && !isNew) {
            return Optional.empty();
        }
        EntityForm form = EntityForm.of(section, entity.orElse(null), isNew ? "" : name);
        return Optional.of(form(visit, form, document, read.head().version(), List.of(), 200));
    }

    /** Shows a form again with what was typed, on the version in force. */
    ConsoleResponse form(Visit visit, Section section) {
        HistoryResult.Read read = documents.read(0, 0);
        EntityForm form = EntityForm.of(section, visit.request());
        return form(visit, form, read.head().document(), read.head().version(), List.of(), 200);
    }

    private ConsoleResponse form(
            Visit visit, EntityForm form, Document document, long version, List<DocumentProblem> problems, int status) {
        boolean isNew = form.section().isList() && form.original().isEmpty();
        String title = isNew
                ? "New " + form.section().singular()
                : "Edit " + form.section().singular() + (form.section().isList() ? " " + form.original() : "");
        List<String> others = problems.stream()
                .filter(problem -> form.fieldOf(problem, document).isEmpty())
                .map(DocumentProblem::text)
                .toList();
        Model model = Model.of(visit, title)
                .with("section", form.section())
                .with("original", form.original())
                .with("expect", version)
                .with("fields", FormViews.of(form, document, problems))
                .with("others", others)
                .with("hasErrors", !problems.isEmpty())
                .with("offersKey", form.section().kind() == EntityKind.CUSTOMER)
                .with(
                        "newKey",
                        visit.request().has(NEW_KEY)
                                || (isNew && !visit.request().isPost()))
                .with("why", visit.request().first("why"));
        return page(status, "form", model);
    }

    ConsoleResponse review(Visit visit, Section section) {
        long expect = visit.request().number("expect");
        HistoryResult.Read read = documents.read(expect, 0);
        Document base = read.document().orElse(read.head().document());
        EntityForm form = EntityForm.of(section, visit.request());
        DocumentReadResult result = form.applyTo(base);
        if (!result.isValid()) {
            return form(visit, form, base, expect, result.problems(), INVALID);
        }
        DocumentDiff mine = DocumentDiff.between(base, result.document());
        if (read.head().version() != expect) {
            return conflict(visit, form, conflict(base, read, expect, mine));
        }
        return review(visit, form, mine, ChangeWarnings.of(mine), "", 200);
    }

    private PublishResult.Conflict conflict(Document base, HistoryResult.Read read, long expect, DocumentDiff mine) {
        long current = read.head().version();
        DocumentDiff theirs = DocumentDiff.between(base, read.head().document());
        List<AuditRecord> records = documents
                .read(0, (int) Math.min(MAX_RECORDS, Math.max(0, current - expect)))
                .records();
        return new PublishResult.Conflict(expect, current, mine, theirs, mine.overlap(theirs), records);
    }

    private ConsoleResponse review(
            Visit visit, EntityForm form, DocumentDiff diff, List<ChangeWarning> warnings, String problem, int status) {
        Model model = kept(Model.of(visit, "Compare and publish"), visit, form)
                .with("expect", visit.request().number("expect"))
                .with("lines", ChangeFormatter.lines(diff))
                .with("warnings", warnings.stream().map(ChangeWarning::line).toList())
                .with("newKey", visit.request().has(NEW_KEY) && !form.isRemoval())
                .with("isAccepted", visit.request().has("accept"))
                .with("why", visit.request().first("why"))
                .with("problem", problem);
        return page(status, "review", model);
    }

    private static Model kept(Model model, Visit visit, EntityForm form) {
        Map<String, List<String>> kept = form.kept();
        if (visit.request().has(NEW_KEY)) {
            kept.put(NEW_KEY, List.of("yes"));
        }
        return model.with("section", form.section()).with("kept", kept);
    }

    private ConsoleResponse conflict(Visit visit, EntityForm form, PublishResult.Conflict conflict) {
        Model model = kept(Model.of(visit, "Another operator published first"), visit, form)
                .with("conflict", conflict)
                .with("mine", ChangeFormatter.lines(conflict.mine()))
                .with("theirs", ChangeFormatter.lines(conflict.theirs()))
                .with("why", visit.request().first("why"));
        return page(CONFLICT, "conflict", model);
    }

    ConsoleResponse publish(Visit visit, Section section) {
        EntityForm typed = EntityForm.of(section, visit.request());
        boolean makesKey =
                section.kind() == EntityKind.CUSTOMER && visit.request().has(NEW_KEY) && !typed.isRemoval();
        String key = makesKey ? newKey() : "";
        EntityForm form = makesKey ? typed.with("keyHashes", Sha256.hex(key)) : typed;
        HistoryResult.Read read = documents.read(visit.request().number("expect"), 0);
        Document base = read.document().orElse(read.head().document());
        DocumentReadResult result = form.applyTo(base);
        if (!result.isValid()) {
            return form(visit, typed, base, visit.request().number("expect"), result.problems(), INVALID);
        }
        if (visit.request().first("why").isEmpty()) {
            DocumentDiff diff = DocumentDiff.between(base, typed.applyTo(base).document());
            return review(visit, typed, diff, ChangeWarnings.of(diff), "why", INVALID);
        }
        return report(visit, typed, base, documents.publish(visit, result.document(), 0), key);
    }

    private String newKey() {
        byte[] bytes = new byte[KEY_BYTES];
        random.nextBytes(bytes);
        return "hb-" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    private ConsoleResponse report(Visit visit, EntityForm form, Document base, PublishResult result, String key) {
        if (result instanceof PublishResult.Conflict conflict) {
            return conflict(visit, form, conflict);
        }
        if (result instanceof PublishResult.Invalid invalid) {
            return form(visit, form, base, visit.request().number("expect"), invalid.problems(), INVALID);
        }
        if (result instanceof PublishResult.NeedsAcceptance open) {
            return review(visit, form, open.diff(), open.warnings(), "accept", INVALID);
        }
        if (result instanceof PublishResult.Failed failed) {
            Model model = kept(Model.of(visit, "The store does not answer"), visit, form)
                    .with("message", failed.message())
                    .with("outcome", "")
                    .with("action", Console.ROOT + form.section().key() + "/form");
            return page(ErrorResponses.of(failed.kind()).httpStatus(), "failed", model);
        }
        boolean isPublished = result instanceof PublishResult.Published;
        Model model = Model.of(visit, isPublished ? "Published" : "Nothing has changed")
                .with("section", form.section())
                .with("key", isPublished ? key : "")
                .with("version", result instanceof PublishResult.Published done ? done.version() : 0)
                .with(
                        "lines",
                        result instanceof PublishResult.Published done
                                ? ChangeFormatter.lines(done.diff())
                                : List.of());
        return page(200, "done", model);
    }
}
