package io.hornbeamscale.core.document;

/**
 * A disruptive consequence of a change, which an operator must accept before the change is published.
 *
 * @param entity section and name of the entity, such as {@code backends/tours-1}
 * @param text the consequence, for people
 */
public record ChangeWarning(String entity, String text) {
    /**
     * Returns the warning as a single line.
     *
     * @return entity and consequence, never null
     */
    public String line() {
        return entity + ": " + text;
    }
}
