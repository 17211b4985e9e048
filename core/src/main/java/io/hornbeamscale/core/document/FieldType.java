package io.hornbeamscale.core.document;

/** The shapes of values in the document. */
public enum FieldType {
    /** A text. */
    TEXT("a text"),
    /** A list of texts. */
    TEXT_LIST("a list of texts"),
    /** A whole number. */
    INTEGER("a whole number"),
    /** A number, possibly with a fraction. */
    DECIMAL("a number"),
    /** True or false. */
    FLAG("true or false"),
    /** One of a closed list of words. */
    CHOICE("one of a list of words");

    private final String title;

    FieldType(String title) {
        this.title = title;
    }

    /**
     * Returns what a value of this shape is called.
     *
     * @return a phrase for messages, never null
     */
    public String title() {
        return title;
    }
}
