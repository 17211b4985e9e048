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

/** Pages that list, edit, review and publish entities. Unpublished input is kept in hidden fields of the forms. */
final class EditPages {
    private static final String NEW_KEY_FIELD = "newKey";
    private static final String NEW_ENTITY_NAME = "new";
    private static final int KEY_BYTES = 32;
    private static final int MAX_CONFLICT_RECORDS = 50;
    private static final int STATUS_INVALID =
            ErrorResponses.of(ErrorKind.INVALID_DOCUMENT).httpStatus();
    private static final int STATUS_CONFLICT =
            ErrorResponses.of(ErrorKind.VERSION_CONFLICT).httpStatus();

    private final DocumentAccess documents;
    private final PageRenderer renderer;
    private final SecureRandom random;

    EditPages(DocumentAccess documents, PageRenderer renderer, SecureRandom random) {
        this.documents = documents;
        this.renderer = renderer;
        this.random = random;
    }

    ConsoleResponse overview(RequestContext context) {
        HistoryResult.Read read = documents.read(0, 1);
        Map<String, Integer> counts = new HashMap<>();
        DocumentSection.all()
                .forEach(section -> counts.put(
                        section.key(), section.entries(read.head().document()).size()));
        PageModel model = PageModel.of(context, "Overview")
                .with("version", read.head().version())
                .with("counts", counts)
                .with("latest", read.records());
        return page(200, "overview", model);
    }

    private ConsoleResponse page(int status, String name, PageModel model) {
        return ConsoleResponse.html(status, renderer.render(name, model.values()));
    }

    ConsoleResponse list(RequestContext context, DocumentSection section) {
        HistoryResult.Read read = documents.read(0, 0);
        List<EntityField> fields = section.fields();
        List<List<String>> rows = new ArrayList<>();
        for (Record entry : section.entries(read.head().document())) {
            rows.add(fields.stream().map(field -> cell(field, entry)).toList());
        }
        PageModel model = PageModel.of(context, section.title())
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

    /** Returns the form of an entity, empty if there is no entity of this name. */
    Optional<ConsoleResponse> open(RequestContext context, DocumentSection section, String name) {
        HistoryResult.Read read = documents.read(0, 0);
        Document document = read.head().document();
        boolean isNew = section.isList() && name.equals(NEW_ENTITY_NAME);
        Optional<Record> entity = isNew ? Optional.empty() : section.find(document, name);
        if (entity.isEmpty() && !isNew) {
            return Optional.empty();
        }
        EntityForm form = EntityForm.of(section, entity.orElse(null), isNew ? "" : name);
        return Optional.of(form(context, form, document, read.head().version(), List.of(), 200));
    }

    /** Shows a form again with its input, based on the version in force. */
    ConsoleResponse form(RequestContext context, DocumentSection section) {
        HistoryResult.Read read = documents.read(0, 0);
        EntityForm form = EntityForm.of(section, context.request());
        return form(context, form, read.head().document(), read.head().version(), List.of(), 200);
    }

    private ConsoleResponse form(
            RequestContext context,
            EntityForm form,
            Document document,
            long version,
            List<DocumentProblem> problems,
            int status) {
        boolean isNew = form.section().isList() && form.original().isEmpty();
        String title = isNew
                ? "New " + form.section().singular()
                : "Edit " + form.section().singular() + (form.section().isList() ? " " + form.original() : "");
        List<String> others = problems.stream()
                .filter(problem -> form.fieldOf(problem, document).isEmpty())
                .map(DocumentProblem::text)
                .toList();
        PageModel model = PageModel.of(context, title)
                .with("section", form.section())
                .with("original", form.original())
                .with("expect", version)
                .with("fields", FormViews.of(form, document, problems))
                .with("others", others)
                .with("hasErrors", !problems.isEmpty())
                .with("offersKey", form.section().kind() == EntityKind.CUSTOMER)
                .with(
                        "newKey",
                        context.request().hasField(NEW_KEY_FIELD)
                                || (isNew && !context.request().isPost()))
                .with("why", context.request().firstValue("why"));
        return page(status, "form", model);
    }

    ConsoleResponse review(RequestContext context, DocumentSection section) {
        long expect = context.request().numberValue("expect");
        HistoryResult.Read read = documents.read(expect, 0);
        Document base = read.document().orElse(read.head().document());
        EntityForm form = EntityForm.of(section, context.request());
        DocumentReadResult result = form.applyTo(base);
        if (!result.isValid()) {
            return form(context, form, base, expect, result.problems(), STATUS_INVALID);
        }
        DocumentDiff mine = DocumentDiff.between(base, result.document());
        if (read.head().version() != expect) {
            return conflict(context, form, conflict(base, read, expect, mine));
        }
        return review(context, form, mine, ChangeWarnings.of(mine), "", 200);
    }

    private PublishResult.Conflict conflict(Document base, HistoryResult.Read read, long expect, DocumentDiff mine) {
        long current = read.head().version();
        DocumentDiff theirs = DocumentDiff.between(base, read.head().document());
        List<AuditRecord> records = documents
                .read(0, (int) Math.min(MAX_CONFLICT_RECORDS, Math.max(0, current - expect)))
                .records();
        return new PublishResult.Conflict(expect, current, mine, theirs, mine.overlap(theirs), records);
    }

    private ConsoleResponse review(
            RequestContext context,
            EntityForm form,
            DocumentDiff diff,
            List<ChangeWarning> warnings,
            String problem,
            int status) {
        PageModel model = withHiddenFields(PageModel.of(context, "Compare and publish"), context, form)
                .with("expect", context.request().numberValue("expect"))
                .with("lines", ChangeFormatter.lines(diff))
                .with("warnings", warnings.stream().map(ChangeWarning::line).toList())
                .with("newKey", context.request().hasField(NEW_KEY_FIELD) && !form.isRemoval())
                .with("isAccepted", context.request().hasField("accept"))
                .with("why", context.request().firstValue("why"))
                .with("problem", problem);
        return page(status, "review", model);
    }

    private static PageModel withHiddenFields(PageModel model, RequestContext context, EntityForm form) {
        Map<String, List<String>> kept = form.hiddenFields();
        if (context.request().hasField(NEW_KEY_FIELD)) {
            kept.put(NEW_KEY_FIELD, List.of("yes"));
        }
        return model.with("section", form.section()).with("kept", kept);
    }

    private ConsoleResponse conflict(RequestContext context, EntityForm form, PublishResult.Conflict conflict) {
        PageModel model = withHiddenFields(PageModel.of(context, "Another operator published first"), context, form)
                .with("conflict", conflict)
                .with("mine", ChangeFormatter.lines(conflict.mine()))
                .with("theirs", ChangeFormatter.lines(conflict.theirs()))
                .with("why", context.request().firstValue("why"));
        return page(STATUS_CONFLICT, "conflict", model);
    }

    ConsoleResponse publish(RequestContext context, DocumentSection section) {
        EntityForm input = EntityForm.of(section, context.request());
        boolean isKeyCreated = section.kind() == EntityKind.CUSTOMER
                && context.request().hasField(NEW_KEY_FIELD)
                && !input.isRemoval();
        String key = isKeyCreated ? createKey() : "";
        EntityForm form = isKeyCreated ? input.with("keyHashes", Sha256.hex(key)) : input;
        HistoryResult.Read read = documents.read(context.request().numberValue("expect"), 0);
        Document base = read.document().orElse(read.head().document());
        DocumentReadResult result = form.applyTo(base);
        if (!result.isValid()) {
            return form(
                    context, input, base, context.request().numberValue("expect"), result.problems(), STATUS_INVALID);
        }
        if (context.request().firstValue("why").isEmpty()) {
            DocumentDiff diff = DocumentDiff.between(base, input.applyTo(base).document());
            return review(context, input, diff, ChangeWarnings.of(diff), "why", STATUS_INVALID);
        }
        return publishResult(context, input, base, documents.publish(context, result.document(), 0), key);
    }

    private String createKey() {
        byte[] bytes = new byte[KEY_BYTES];
        random.nextBytes(bytes);
        return "hb-" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    private ConsoleResponse publishResult(
            RequestContext context, EntityForm form, Document base, PublishResult result, String key) {
        if (result instanceof PublishResult.Conflict conflict) {
            return conflict(context, form, conflict);
        }
        if (result instanceof PublishResult.Invalid invalid) {
            return form(
                    context, form, base, context.request().numberValue("expect"), invalid.problems(), STATUS_INVALID);
        }
        if (result instanceof PublishResult.NeedsAcceptance unaccepted) {
            return review(context, form, unaccepted.diff(), unaccepted.warnings(), "accept", STATUS_INVALID);
        }
        if (result instanceof PublishResult.Failed failed) {
            PageModel model = withHiddenFields(PageModel.of(context, "The store does not answer"), context, form)
                    .with("message", failed.message())
                    .with("outcome", "")
                    .with("action", Console.ROOT + form.section().key() + "/form");
            return page(ErrorResponses.of(failed.kind()).httpStatus(), "failed", model);
        }
        boolean isPublished = result instanceof PublishResult.Published;
        PageModel model = PageModel.of(context, isPublished ? "Published" : "Nothing has changed")
                .with("section", form.section())
                .with("key", isPublished ? key : "")
                .with("version", result instanceof PublishResult.Published published ? published.version() : 0)
                .with(
                        "lines",
                        result instanceof PublishResult.Published published
                                ? ChangeFormatter.lines(published.diff())
                                : List.of());
        return page(200, "done", model);
    }
}
