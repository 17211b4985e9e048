package io.hornbeamscale.console;

import java.util.List;

/**
 * A field of a form as a template needs it.
 *
 * @param name the key in the document
 * @param label the label
 * @param hint what is allowed
 * @param control the kind of control: {@code text}, {@code lines}, {@code select}, {@code checks} or {@code flag}
 * @param values the values, one for a single control
 * @param options the choices of {@code select} and {@code checks}
 * @param isRequired whether a value must be given
 * @param errors what is wrong
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
     * Returns the single value.
     *
     * @return the first value, empty if there is none
     */
    public String value() {
        return values.isEmpty() ? "" : values.get(0);
    }

    /**
     * Returns the values as lines.
     *
     * @return one value a line
     */
    public String lines() {
        return String.join("\n", values);
    }
}
