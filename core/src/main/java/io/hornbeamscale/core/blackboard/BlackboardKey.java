package io.hornbeamscale.core.blackboard;

import io.hornbeamscale.core.util.Arguments;

/**
 * The key of a typed value on the blackboard.
 *
 * @param <T> the type of the value, an immutable class
 * @param name the name, unique within the process, not blank
 * @param type the class of the value, not null
 */
public record BlackboardKey<T>(String name, Class<T> type) {
    /** Checks the components. */
    public BlackboardKey {
        Arguments.notBlank(name, "name");
        Arguments.notNull(type, "type");
    }
}
