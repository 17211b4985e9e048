package io.hornbeamscale.daemon;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Selects the headers that pass through. Those that belong to one connection or to our own protocol do not. */
final class HeaderRules {
    private static final Set<String> CONNECTION = Set.of(
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
    private static final Set<String> OURS =
            Set.of("authorization", "last-event-id", "x-work-kind", "x-restart", "expect");

    private HeaderRules() {}

    static Map<String, String> ofRequest(Map<String, String> headers) {
        Map<String, String> kept = ofResponse(headers);
        kept.keySet().removeAll(OURS);
        return kept;
    }

    static Map<String, String> ofResponse(Map<String, String> headers) {
        Map<String, String> kept = new LinkedHashMap<>();
        headers.forEach((name, value) -> {
            String lower = name.toLowerCase(Locale.ROOT);
            if (!CONNECTION.contains(lower)) {
                kept.put(lower, value);
            }
        });
        return kept;
    }
}
