package io.hornbeamscale.console;

import java.util.List;
import java.util.Map;

/**
 * A request to the console, independent of the HTTP server.
 *
 * @param method the method
 * @param path the decoded path
 * @param fields the values of the fields of the query or the form, by name
 * @param cookie the value of the session cookie, null if there is none
 * @param client the IP address of the client
 * @param isCrossSite whether the Origin header is present and does not name this host
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

    /** Returns the first value of a field without surrounding white space, empty if there is none. */
    String firstValue(String name) {
        List<String> values = fields.getOrDefault(name, List.of());
        return values.isEmpty() ? "" : values.get(0).trim();
    }

    boolean hasField(String name) {
        return fields.containsKey(name);
    }

    /** Returns the first value of a field as a number, 0 if it is missing or not a number of at most 18 digits. */
    long numberValue(String name) {
        String text = firstValue(name);
        return text.matches("[0-9]{1,18}") ? Long.parseLong(text) : 0;
    }
}
