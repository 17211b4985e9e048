package io.hornbeamscale.core.document;

import java.util.List;
import java.util.Objects;

/** Normalizes record components of the document: null becomes empty, and lists are copied without null items. */
final class NullToEmpty {
    private NullToEmpty() {}

    static <T> List<T> list(List<T> items) {
        return items == null
                ? List.of()
                : items.stream().filter(Objects::nonNull).toList();
    }

    static String text(String text) {
        return text == null ? "" : text;
    }
}
