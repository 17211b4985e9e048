package io.hornbeamscale.console;

import io.hornbeamscale.core.util.Arguments;
import java.util.Map;

/**
 * The settings of the console. All entries must have the same secret, so that each accepts the sessions of the others.
 *
 * @param operators the password hashes by operator name, as {@link PasswordHash#create} returns them
 * @param sessionSecret the secret that signs sessions, at least 32 characters
 */
public record ConsoleSettings(Map<String, String> operators, String sessionSecret) {
    private static final int MIN_SECRET_CHARS = 32;

    /** Checks the components and copies the map. */
    public ConsoleSettings {
        operators = Map.copyOf(Arguments.notNull(operators, "operators"));
        Arguments.notBlank(sessionSecret, "sessionSecret");
        if (sessionSecret.length() < MIN_SECRET_CHARS) {
            throw new IllegalArgumentException("sessionSecret must have at least " + MIN_SECRET_CHARS + " characters");
        }
        operators.forEach((name, hash) -> {
            if (name.isBlank() || !PasswordHash.isValid(hash)) {
                throw new IllegalArgumentException("operators." + name + " must be a password hash");
            }
        });
    }
}
