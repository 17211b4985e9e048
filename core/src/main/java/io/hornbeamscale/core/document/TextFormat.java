package io.hornbeamscale.core.document;

import java.util.regex.Pattern;

/** The formats of texts in the document. */
public enum TextFormat {
    /** A name of an entity. */
    NAME("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?", "1 to 63 lower-case letters, digits and inner hyphens"),
    /** A name of a model or adapter as callers write it in requests. */
    MODEL_NAME("[A-Za-z0-9][A-Za-z0-9._-]{0,127}", "1 to 128 letters, digits, dots, underscores and hyphens"),
    /** A version of a model. */
    VERSION(
            "[A-Za-z0-9][A-Za-z0-9._+-]{0,63}",
            "1 to 64 letters, digits, dots, underscores, plus signs and hyphens, in quotes if it looks like a number"),
    /** An IP address with a port; host names are not allowed, since nodes do not resolve them. */
    ADDRESS(
            "(((25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])\\.){3}(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])|\\[[0-9a-fA-F:]{2,39}\\])"
                    + ":([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])",
            "an IP address and a port, such as 10.0.0.7:7100 or [fd00::7]:7100"),
    /** A SHA-256 digest in hexadecimal. */
    DIGEST("[0-9a-f]{64}", "64 lower-case hexadecimal digits (the SHA-256 digest of a key)"),
    /** A method and a path prefix. */
    CALL(
            "(GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS) /[!-~]{0,199}",
            "an upper-case method, a space and a path prefix of at most 200 characters, such as POST /bookings");

    private final Pattern pattern;
    private final String allowed;

    TextFormat(String pattern, String allowed) {
        this.pattern = Pattern.compile(pattern);
        this.allowed = allowed;
    }

    /**
     * Returns the regular expression that the whole text must match.
     *
     * @return the expression, in syntax that JSON Schema also supports, never null
     */
    public String expression() {
        return pattern.pattern();
    }

    /**
     * Describes the allowed texts.
     *
     * @return a phrase for messages, never null
     */
    public String allowed() {
        return allowed;
    }

    /**
     * Tells whether a text has this format.
     *
     * @param text the text, not null
     * @return true if the whole text matches
     */
    public boolean isMatchedBy(String text) {
        return pattern.matcher(text).matches();
    }
}
