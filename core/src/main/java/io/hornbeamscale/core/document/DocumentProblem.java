package io.hornbeamscale.core.document;

/**
 * A validation error in a document.
 *
 * @param path where the value is, such as {@code backends[3].memoryTokens}
 * @param value the value as text, empty if it is missing; a long value is cut
 * @param allowed a description of the allowed values
 */
public record DocumentProblem(String path, String value, String allowed) {
    // A longer value would make it hard to see the path and the allowed values in a message.
    private static final int MAX_VALUE_CHARS = 80;

    /** Cuts long values and replaces null by an empty value. */
    public DocumentProblem {
        value = value == null ? "" : value;
        value = value.length() <= MAX_VALUE_CHARS ? value : value.substring(0, MAX_VALUE_CHARS) + "...";
    }

    /**
     * Returns the error as a single line.
     *
     * @return the path, the value and the allowed values, never null
     */
    public String text() {
        String shown = value.isEmpty() ? "is missing or empty" : "\"" + value + "\" is not allowed";
        return path + ": " + shown + "; allowed: " + allowed;
    }
}
