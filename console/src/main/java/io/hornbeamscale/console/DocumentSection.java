package io.hornbeamscale.console;

import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.EntityField;
import io.hornbeamscale.core.document.EntityFields;
import io.hornbeamscale.core.document.EntityKind;
import io.hornbeamscale.core.document.LimitsSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * A section of the document, as the console shows it.
 *
 * @param key the key of the section in the document and in URL paths
 * @param title the heading
 * @param singular the name of one entry, in lower case
 * @param kind the kind of the entities, null for the limits
 */
public record DocumentSection(String key, String title, String singular, EntityKind kind) {
    private static final DocumentSection LIMITS = new DocumentSection("limits", "Limits", "limits", null);
    private static final List<DocumentSection> ALL = createAll();

    private static List<DocumentSection> createAll() {
        List<DocumentSection> all = new ArrayList<>();
        for (EntityKind kind : EntityKind.values()) {
            all.add(new DocumentSection(kind.section(), headline(kind), kind.title(), kind));
        }
        all.add(LIMITS);
        return List.copyOf(all);
    }

    private static String headline(EntityKind kind) {
        String title = kind.title() + "s";
        return title.substring(0, 1).toUpperCase(Locale.ROOT) + title.substring(1);
    }

    static List<DocumentSection> all() {
        return ALL;
    }

    static Optional<DocumentSection> of(String key) {
        return ALL.stream().filter(section -> section.key.equals(key)).findFirst();
    }

    /**
     * Returns whether the section has a list of entities.
     *
     * @return false for the limits
     */
    public boolean isList() {
        return kind != null;
    }

    List<EntityField> fields() {
        return EntityFields.of(kind == null ? LimitsSpec.class : kind.type());
    }

    List<? extends Record> entries(Document document) {
        if (kind == null) {
            return List.of(document.limits());
        }
        return kind.of(document).stream().map(Record.class::cast).toList();
    }

    Optional<Record> find(Document document, String name) {
        if (kind == null) {
            return Optional.of(document.limits());
        }
        return kind.of(document).stream()
                .filter(entity -> entity.name().equals(name))
                .map(Record.class::cast)
                .findFirst();
    }
}
