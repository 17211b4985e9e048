package io.hornbeamscale.console;

import java.util.List;

/**
 * A field of a form, as the templates show it.
 *
 * @param name the key in the document
 * @param label the label
 * @param hint the meaning of the field and, for numbers, the allowed range
 * @param control the kind of input control: {@code text}, {@code lines}, {@code select}, {@code checks} or {@code flag}
 * @param values the values, at most one for a control with a single value
 * @param options the choices of {@code select} and {@code checks}
 * @param isRequired whether a value must be given
 * @param errors the messages about invalid values
 */
public record FieldView(
        String name,
        String label,
        String hint,
        String control,
        List<String> values,
        List<String> options,
        boolean isRequired,
        List<String> errors) {
    /**
     * Returns the value of a control with a single value.
     *
     * @return the first value, empty if there is none
     */
    public String value() {
        return values.isEmpty() ? "" : values.get(0);
    }

    /**
     * Returns the values as lines.
     *
     * @return the values, one on each line
     */
    public String lines() {
        return String.join("\n", values);
    }
}
