package io.hornbeamscale.console;

import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentProblem;
import io.hornbeamscale.core.document.EntityField;
import io.hornbeamscale.core.document.FieldType;
import io.hornbeamscale.core.document.ModelSpec;
import io.hornbeamscale.core.document.RegionSpec;
import io.hornbeamscale.core.document.ServiceSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Converts a form to fields for the templates. Fields that refer to entities offer those of the document. */
final class FormViews {
    private FormViews() {}

    static List<FieldView> of(EntityForm form, Document document, List<DocumentProblem> problems) {
        Map<String, List<String>> errors = new HashMap<>();
        for (DocumentProblem problem : problems) {
            form.fieldOf(problem, document)
                    .ifPresent(field -> errors.computeIfAbsent(field, name -> new ArrayList<>())
                            .add(message(problem)));
        }
        List<FieldView> views = new ArrayList<>();
        for (EntityField field : form.section().fields()) {
            views.add(view(form, field, document, errors.getOrDefault(field.name(), List.of())));
        }
        return views;
    }

    static String message(DocumentProblem problem) {
        return (problem.value().isEmpty() ? "A value is missing." : "\"" + problem.value() + "\" is not allowed.")
                + " Allowed: " + problem.allowed() + ".";
    }

    private static FieldView view(EntityForm form, EntityField field, Document document, List<String> errors) {
        List<String> values = form.values(field.name());
        List<String> references = references(field, document);
        Set<String> options = new LinkedHashSet<>(references);
        options.addAll(values);
        String control = control(field, references);
        if (control.equals("select") && field.rule().optional()) {
            options = new LinkedHashSet<>(options);
            options.add("");
        }
        return new FieldView(
                field.name(),
                label(field.name()),
                hint(field),
                control,
                control.equals("flag") ? values.stream().filter("true"::equals).toList() : values,
                List.copyOf(options),
                !field.rule().optional() && field.type() != FieldType.FLAG,
                errors);
    }

    private static String hint(EntityField field) {
        String meaning = field.rule().meaning();
        String text = meaning.substring(0, 1).toUpperCase(Locale.ROOT) + meaning.substring(1) + ".";
        boolean isNumber = field.type() == FieldType.INTEGER || field.type() == FieldType.DECIMAL;
        return isNumber ? text + " From " + range(field) + "." : text;
    }

    private static String range(EntityField field) {
        String allowed = field.allowed();
        return allowed.substring(allowed.indexOf(" from ") + " from ".length());
    }

    private static String control(EntityField field, List<String> references) {
        return switch (field.type()) {
            case FLAG -> "flag";
            case CHOICE -> "select";
            case TEXT_LIST -> references.isEmpty() ? "lines" : "checks";
            default -> references.isEmpty() ? "text" : "select";
        };
    }

    private static List<String> references(EntityField field, Document document) {
        return switch (field.name()) {
            case "service", "services" ->
                document.services().stream().map(ServiceSpec::name).toList();
            case "model", "models" ->
                document.models().stream().map(ModelSpec::name).toList();
            case "region" -> document.regions().stream().map(RegionSpec::name).toList();
            case "zone" ->
                document.regions().stream()
                        .flatMap(region -> region.zones().stream())
                        .toList();
            default -> field.choices();
        };
    }

    /** Converts a name in camel case to a label, {@code maxOutputTokens} to {@code Max output tokens}. */
    static String label(String name) {
        StringBuilder label = new StringBuilder();
        for (int i = 0; i < name.length(); i++) {
            char letter = name.charAt(i);
            if (Character.isUpperCase(letter)) {
                label.append(' ').append(Character.toLowerCase(letter));
            } else {
                label.append(letter);
            }
        }
        label.setCharAt(0, Character.toUpperCase(label.charAt(0)));
        return label.toString();
    }
}
