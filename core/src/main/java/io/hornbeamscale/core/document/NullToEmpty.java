package io.hornbeamscale.core.document;

import java.util.List;
import java.util.Objects;

/** Copies that the records of the document take of their parts. */
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
