package io.hornbeamscale.daemon;

import io.hornbeamscale.console.ConsoleHandler;
import io.hornbeamscale.external.KeyValueStore;
import io.undertow.server.HttpHandler;
import java.security.SecureRandom;

/** Creates the operator console of an entry. */
final class ConsoleFactory {
    private ConsoleFactory() {}

    /** Returns the handler of the console, null if no operators are configured or there is no store. */
    static HttpHandler create(EntrySettings settings, KeyValueStore store) {
        if (settings.console() == null || store == null) {
            return null;
        }
        return new ConsoleHandler(settings.console(), store, new SecureRandom(), System::currentTimeMillis);
    }
}
