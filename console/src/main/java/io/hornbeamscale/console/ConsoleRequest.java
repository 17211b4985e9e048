package io.hornbeamscale.console;

import java.util.List;
import java.util.Map;

/**
 * A request to the console, independent of the HTTP server.
 *
 * @param method the method
 * @param path the path, with escapes resolved
 * @param fields fields of the query or of the form
 * @param cookie the value of the session cookie, null if there is none
 * @param client the address of the client
 * @param isCrossSite whether the browser says that another site caused the request
 */
record ConsoleRequest(
        String method,
        String path,
        Map<String, List<String>> fields,
        String cookie,
        String client,
        boolean isCrossSite) {

    boolean isPost() {
        return method.equals("POST");
    }

    /** Returns the first value of a field, empty if there is none. */
    String first(String name) {
        List<String> values = fields.getOrDefault(name, List.of());
        return values.isEmpty() ? "" : values.get(0).trim();
    }

    boolean has(String name) {
        return fields.containsKey(name);
    }

    long number(String name) {
        String text = first(name);
        return text.matches("[0-9]{1,18}") ? Long.parseLong(text) : 0;
    }
}
