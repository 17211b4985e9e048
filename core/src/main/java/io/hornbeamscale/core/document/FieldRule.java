package io.hornbeamscale.core.document;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * States what a field of the document means and which values it may have. The validator, the JSON schema, the console's
 * forms and docs/CONFIGURATION.md are all derived from it, so they cannot disagree.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target({ElementType.RECORD_COMPONENT, ElementType.FIELD})
public @interface FieldRule {
    /**
     * Returns the meaning for operators.
     *
     * @return one phrase without a full stop
     */
    String meaning();

    /**
     * Returns the form of a text, or of each text of a list.
     *
     * @return the form; ignored for numbers, flags and choices
     */
    TextFormat format() default TextFormat.NAME;

    /**
     * Returns the smallest allowed number.
     *
     * @return the number, inclusive; ignored for fields that are not numbers
     */
    double min() default 0;

    /**
     * Returns the greatest allowed number.
     *
     * @return the number, inclusive; ignored for fields that are not numbers
     */
    double max() default 0;

    /**
     * Returns the smallest number of items of a list.
     *
     * @return the number of items
     */
    int minItems() default 0;

    /**
     * Returns the greatest number of items of a list.
     *
     * @return the number of items
     */
    int maxItems() default 64;

    /**
     * Tells whether the field may be left out; it is then empty, 0 or false.
     *
     * @return true if the field may be left out
     */
    boolean optional() default false;
}
