package io.hornbeamscale.core.document;

/**
 * A consequence of a change that an operator accepts explicitly before it is published.
 *
 * @param entity section and name of the entity, such as {@code backends/tours-1}
 * @param text the consequence
 */
public record ChangeWarning(String entity, String text) {
    /**
     * Returns the warning as one line.
     *
     * @return entity and consequence, never null
     */
    public String line() {
        return entity + ": " + text;
    }
}
