package io.hornbeamscale.core.document;

/**
 * An error of a document.
 *
 * @param path where the value is, such as {@code backends[3].memoryTokens}
 * @param value the value as text, empty if it is missing
 * @param allowed what is allowed there
 */
public record DocumentProblem(String path, String value, String allowed) {
    // Longer values would hide the path and the allowed values in messages.
    private static final int MAX_VALUE_CHARS = 80;

    /** Shortens long values. */
    public DocumentProblem {
        value = value == null ? "" : value;
        value = value.length() <= MAX_VALUE_CHARS ? value : value.substring(0, MAX_VALUE_CHARS) + "...";
    }

    /**
     * Returns the error as one line.
     *
     * @return path, value and what is allowed, never null
     */
    public String text() {
        String shown = value.isEmpty() ? "is missing or empty" : "\"" + value + "\" is not allowed";
        return path + ": " + shown + "; allowed: " + allowed;
    }
}
