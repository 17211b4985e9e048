package io.hornbeamscale.core.document;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Describes a field of the document and its allowed values. The validator, the JSON schema, the console's forms and
 * docs/CONFIGURATION.md are all derived from this annotation, so they stay consistent.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target({ElementType.RECORD_COMPONENT, ElementType.FIELD})
public @interface FieldRule {
    /**
     * Returns the description for operators.
     *
     * @return a phrase without a full stop
     */
    String meaning();

    /**
     * Returns the format of a text, or of each text in a list.
     *
     * @return the format; ignored for numbers, flags and choices
     */
    TextFormat format() default TextFormat.NAME;

    /**
     * Returns the smallest allowed number.
     *
     * @return the number, inclusive; ignored for fields that are not numbers
     */
    double min() default 0;

    /**
     * Returns the largest allowed number.
     *
     * @return the number, inclusive; ignored for fields that are not numbers
     */
    double max() default 0;

    /**
     * Returns the minimum number of items of a list.
     *
     * @return the number of items; ignored for fields that are not lists
     */
    int minItems() default 0;

    /**
     * Returns the maximum number of items of a list.
     *
     * @return the number of items; ignored for fields that are not lists
     */
    int maxItems() default 64;

    /**
     * Tells whether the field may be omitted. An omitted field is empty, 0 or false.
     *
     * @return true if the field may be omitted
     */
    boolean optional() default false;
}
