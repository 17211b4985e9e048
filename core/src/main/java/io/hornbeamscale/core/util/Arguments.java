package io.hornbeamscale.core.util;

/** Checks arguments of public methods. The exceptions name the argument in their message. */
public final class Arguments {
    private Arguments() {}

    /**
     * Returns the value if it is not null.
     *
     * @param <T> the type of the value
     * @param value the value to check
     * @param name the name of the argument
     * @return the value, never null
     * @throws IllegalArgumentException if the value is null
     */
    public static <T> T notNull(T value, String name) {
        if (value == null) {
            throw new IllegalArgumentException(name + " must not be null");
        }
        return value;
    }

    /**
     * Returns the text if it contains a character other than white space.
     *
     * @param value the text to check, may be null
     * @param name the name of the argument
     * @return the text, never null or blank
     * @throws IllegalArgumentException if the text is null or blank
     */
    public static String notBlank(String value, String name) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(name + " must not be blank");
        }
        return value;
    }

    /**
     * Returns the number if it is zero or greater.
     *
     * @param value the number to check
     * @param name the name of the argument
     * @return the number
     * @throws IllegalArgumentException if the number is negative
     */
    public static long notNegative(long value, String name) {
        if (value < 0) {
            throw new IllegalArgumentException(name + " must not be negative: " + value);
        }
        return value;
    }

    /**
     * Returns the number if it is greater than zero.
     *
     * @param value the number to check
     * @param name the name of the argument
     * @return the number
     * @throws IllegalArgumentException if the number is zero or negative
     */
    public static long positive(long value, String name) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be positive: " + value);
        }
        return value;
    }

    /**
     * Returns the number if it is within a closed range.
     *
     * @param value the number to check; NaN is outside of every range
     * @param min the smallest allowed number
     * @param max the largest allowed number
     * @param name the name of the argument
     * @return the number
     * @throws IllegalArgumentException if the number is outside of the range
     */
    public static double inRange(double value, double min, double max, String name) {
        if (!(value >= min && value <= max)) {
            throw new IllegalArgumentException(name + " must be from " + min + " to " + max + ": " + value);
        }
        return value;
    }
}
