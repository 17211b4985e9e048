package io.hornbeamscale.daemon;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Selects the headers that are forwarded. Headers that concern a single connection are dropped, as are request headers
 * that the entry itself evaluates. Names are converted to lower case.
 */
final class HeaderFilter {
    private static final Set<String> CONNECTION_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "host",
            "date");
    private static final Set<String> ENTRY_HEADERS =
            Set.of("authorization", "last-event-id", "x-work-kind", "x-restart", "expect");

    private HeaderFilter() {}

    static Map<String, String> filterRequest(Map<String, String> headers) {
        Map<String, String> kept = filterResponse(headers);
        kept.keySet().removeAll(ENTRY_HEADERS);
        return kept;
    }

    static Map<String, String> filterResponse(Map<String, String> headers) {
        Map<String, String> kept = new LinkedHashMap<>();
        headers.forEach((name, value) -> {
            String lower = name.toLowerCase(Locale.ROOT);
            if (!CONNECTION_HEADERS.contains(lower)) {
                kept.put(lower, value);
            }
        });
        return kept;
    }
}
