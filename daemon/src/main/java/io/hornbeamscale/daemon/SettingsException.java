package io.hornbeamscale.daemon;

import java.util.List;

/** Thrown for invalid settings. The message has one line for each error. */
final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SettingsException(List<String> errors) {
        super(String.join(System.lineSeparator(), errors));
    }
}
