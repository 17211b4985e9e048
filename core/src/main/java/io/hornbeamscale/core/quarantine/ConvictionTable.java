package io.hornbeamscale.core.quarantine;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Convictions known to one entry and their text form in the store: one line each, fingerprint and expiry. */
final class ConvictionTable {
    /** The greatest number of convictions; with 40 bytes each the store value stays far below 1 MB. */
    static final int MAX_CONVICTIONS = 2_000;

    private static final Pattern LINE = Pattern.compile("\\S+ \\d{1,18}");

    private final Map<RequestFingerprint, Conviction> convictions = new LinkedHashMap<>();
    private final Set<RequestFingerprint> stored = new HashSet<>();

    Set<RequestFingerprint> all() {
        return convictions.keySet();
    }

    boolean contains(RequestFingerprint fingerprint, long epochMillis) {
        Conviction found = convictions.get(fingerprint);
        return found != null && found.expiresMillis() > epochMillis;
    }

    boolean add(Conviction conviction, long epochMillis) {
        if (conviction.expiresMillis() <= epochMillis
                || convictions.putIfAbsent(conviction.fingerprint(), conviction) != null) {
            return false;
        }
        Iterator<RequestFingerprint> oldestFirst = convictions.keySet().iterator();
        while (convictions.size() > MAX_CONVICTIONS) {
            stored.remove(oldestFirst.next());
            oldestFirst.remove();
        }
        return true;
    }

    void dropExpired(long epochMillis) {
        convictions.values().removeIf(conviction -> conviction.expiresMillis() <= epochMillis);
        stored.retainAll(convictions.keySet());
    }

    boolean isStored() {
        return stored.containsAll(convictions.keySet());
    }

    void markStored(Map<RequestFingerprint, Conviction> written) {
        stored.addAll(written.keySet());
        stored.retainAll(convictions.keySet());
    }

    Map<RequestFingerprint, Conviction> snapshot() {
        return new LinkedHashMap<>(convictions);
    }

    static String encode(Map<RequestFingerprint, Conviction> convictions) {
        StringBuilder text = new StringBuilder();
        for (Conviction conviction : convictions.values()) {
            text.append(conviction.fingerprint())
                    .append(' ')
                    .append(conviction.expiresMillis())
                    .append('\n');
        }
        return text.toString();
    }

    /** Decodes a store value; lines of an unknown form are skipped. */
    static Map<RequestFingerprint, Conviction> decode(String text) {
        Map<RequestFingerprint, Conviction> convictions = new LinkedHashMap<>();
        for (String line : text.lines().toList()) {
            if (!LINE.matcher(line).matches()) {
                continue;
            }
            int space = line.indexOf(' ');
            RequestFingerprint fingerprint = new RequestFingerprint(line.substring(0, space));
            convictions.put(fingerprint, new Conviction(fingerprint, Long.parseLong(line.substring(space + 1))));
        }
        return convictions;
    }
}
