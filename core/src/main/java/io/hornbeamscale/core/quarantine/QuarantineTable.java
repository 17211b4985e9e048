package io.hornbeamscale.core.quarantine;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** The quarantined requests known to one entry. In the store, each request is one line with fingerprint and expiry. */
final class QuarantineTable {
    /** The maximum number of entries. At 40 bytes each, the store value stays far below 1 MB. */
    static final int MAX_ENTRIES = 2_000;

    private static final Pattern LINE = Pattern.compile("\\S+ \\d{1,18}");

    private final Map<RequestFingerprint, QuarantinedRequest> entries = new LinkedHashMap<>();
    private final Set<RequestFingerprint> stored = new HashSet<>();

    Set<RequestFingerprint> all() {
        return entries.keySet();
    }

    boolean contains(RequestFingerprint fingerprint, long epochMillis) {
        QuarantinedRequest found = entries.get(fingerprint);
        return found != null && found.expiresMillis() > epochMillis;
    }

    boolean add(QuarantinedRequest request, long epochMillis) {
        if (request.expiresMillis() <= epochMillis || entries.putIfAbsent(request.fingerprint(), request) != null) {
            return false;
        }
        Iterator<RequestFingerprint> oldestFirst = entries.keySet().iterator();
        while (entries.size() > MAX_ENTRIES) {
            stored.remove(oldestFirst.next());
            oldestFirst.remove();
        }
        return true;
    }

    void dropExpired(long epochMillis) {
        entries.values().removeIf(request -> request.expiresMillis() <= epochMillis);
        stored.retainAll(entries.keySet());
    }

    boolean isStored() {
        return stored.containsAll(entries.keySet());
    }

    void markStored(Map<RequestFingerprint, QuarantinedRequest> written) {
        stored.addAll(written.keySet());
        stored.retainAll(entries.keySet());
    }

    void markNotStored() {
        stored.clear();
    }

    Map<RequestFingerprint, QuarantinedRequest> snapshot() {
        return new LinkedHashMap<>(entries);
    }

    static String encode(Map<RequestFingerprint, QuarantinedRequest> requests) {
        StringBuilder text = new StringBuilder();
        for (QuarantinedRequest request : requests.values()) {
            text.append(request.fingerprint())
                    .append(' ')
                    .append(request.expiresMillis())
                    .append('\n');
        }
        return text.toString();
    }

    /** Decodes a store value. Skips lines of unknown form. */
    static Map<RequestFingerprint, QuarantinedRequest> decode(String text) {
        Map<RequestFingerprint, QuarantinedRequest> decoded = new LinkedHashMap<>();
        for (String line : text.lines().toList()) {
            if (!LINE.matcher(line).matches()) {
                continue;
            }
            int space = line.indexOf(' ');
            RequestFingerprint fingerprint = new RequestFingerprint(line.substring(0, space));
            decoded.put(fingerprint, new QuarantinedRequest(fingerprint, Long.parseLong(line.substring(space + 1))));
        }
        return decoded;
    }
}
