package io.hornbeamscale.core.document;

/** The types of fields in the document. */
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
    /** One of a fixed list of words. */
    CHOICE("one of a list of words");

    private final String title;

    FieldType(String title) {
        this.title = title;
    }

    /**
     * Returns the name of this type for messages and documentation.
     *
     * @return a noun phrase or a list of values, never null
     */
    public String title() {
        return title;
    }
}
