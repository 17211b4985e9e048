package io.hornbeamscale.daemon;

import java.util.List;

/** Settings that do not validate. */
final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SettingsException(List<String> errors) {
        super(String.join(System.lineSeparator(), errors));
    }
}
