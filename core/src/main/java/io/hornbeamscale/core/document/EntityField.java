package io.hornbeamscale.core.document;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * A field of an entity or of the limits, with the rule for its values.
 *
 * @param name the key in the document
 * @param type the type of its values
 * @param rule the meaning and the allowed values
 * @param choices the allowed words of a field of type {@link FieldType#CHOICE}, else empty
 * @param accessor the method that reads the field
 */
public record EntityField(String name, FieldType type, FieldRule rule, List<String> choices, Method accessor) {
    /**
     * Describes a record component.
     *
     * @param component a component that carries a {@link FieldRule}
     * @return the field, never null
     */
    static EntityField of(RecordComponent component) {
        FieldRule rule = component.getAnnotation(FieldRule.class);
        if (rule == null) {
            throw new IllegalStateException("no FieldRule on " + component);
        }
        Class<?> type = component.getType();
        List<String> choices = type.isEnum()
                ? Stream.of(type.getEnumConstants())
                        .map(value -> value.toString().toLowerCase(Locale.ROOT))
                        .toList()
                : List.of();
        return new EntityField(component.getName(), typeOf(type), rule, choices, component.getAccessor());
    }

    private static FieldType typeOf(Class<?> type) {
        if (type == String.class) {
            return FieldType.TEXT;
        }
        if (type == List.class) {
            return FieldType.TEXT_LIST;
        }
        if (type == double.class) {
            return FieldType.DECIMAL;
        }
        if (type == boolean.class) {
            return FieldType.FLAG;
        }
        return type.isEnum() ? FieldType.CHOICE : FieldType.INTEGER;
    }

    /**
     * Reads the field.
     *
     * @param instance an instance of the record class that declares the field, not null
     * @return the value, null only for a choice that was not given
     */
    public Object valueOf(Object instance) {
        try {
            return accessor.invoke(instance);
        } catch (IllegalAccessException | InvocationTargetException e) {
            throw new IllegalStateException("cannot read " + accessor, e);
        }
    }

    /**
     * Reads the field as texts: one text for a single value, one per item for a list, none for a missing choice.
     *
     * @param instance an instance of the record class that declares the field, not null
     * @return the texts, never null
     */
    public List<String> textsOf(Object instance) {
        Object value = valueOf(instance);
        if (value instanceof List<?> list) {
            return list.stream().map(String::valueOf).toList();
        }
        if (value == null) {
            return List.of();
        }
        if (value instanceof Double number) {
            return List.of(DocumentJson.numberText(number));
        }
        return List.of(value instanceof Enum<?> ? value.toString().toLowerCase(Locale.ROOT) : value.toString());
    }

    /**
     * Describes the allowed values.
     *
     * @return a phrase for messages, never null
     */
    public String allowed() {
        return switch (type) {
            case TEXT -> rule.format().allowed() + (rule.optional() ? ", or empty" : "");
            case TEXT_LIST ->
                "a list of " + rule.minItems() + " to " + rule.maxItems() + " texts, each "
                        + rule.format().allowed();
            case INTEGER -> "a whole number from " + (long) rule.min() + " to " + (long) rule.max();
            case DECIMAL ->
                "a number from " + DocumentJson.numberText(rule.min()) + " to " + DocumentJson.numberText(rule.max());
            case FLAG -> "true or false";
            case CHOICE -> "one of " + String.join(", ", choices);
        };
    }
}
