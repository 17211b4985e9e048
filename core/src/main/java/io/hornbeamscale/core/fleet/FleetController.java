package io.hornbeamscale.core.fleet;

import io.hornbeamscale.core.util.Arguments;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Derives from registrations which backend servers take requests. Registrations arrive from the store or through
 * another entry, in any order and more than once; the greater revision of an id counts. A registration that vanishes
 * while the store was away may have lapsed although its server lives, so it counts for a grace period after the store's
 * return. Not safe for use by several threads.
 */
public final class FleetController {
    /**
     * How long a registration that vanished during an outage still counts after the store's return, in milliseconds.
     * The platform promises that living servers are back within about 2,000.
     */
    public static final long LAPSE_GRACE_MILLIS = 2_200;

    /** How long a vanished server is remembered, in milliseconds; longer than any server serves after its removal. */
    static final long FORGET_MILLIS = 60_000;

    private final Map<String, Entry> entries = new HashMap<>();
    private boolean isStoreAway = true;
    private long storeBackAtMillis = Long.MIN_VALUE / 2;
    private FleetSnapshot snapshot = FleetSnapshot.EMPTY;
    private boolean isChanged;

    /**
     * Handles a registration.
     *
     * @param record the registration, not null
     * @param revision the store's revision of it
     * @param nowMillis the present time
     */
    public void registered(ServerRegistration record, long revision, long nowMillis) {
        Arguments.notNull(record, "record");
        Entry entry = entries.get(record.id());
        if (entry != null && revision <= entry.revision) {
            return;
        }
        if (entry != null && record.isOlderThan(entry.record)) {
            // A registration that was delayed on its way must not undo a later one.
            entries.put(record.id(), new Entry(entry.record, revision, entry.leavingSince, entry.vanishedAt));
            return;
        }
        long leavingSince = 0;
        if (record.isDraining()) {
            boolean isKnown = entry != null && entry.leavingSince > 0 && record.isSameLife(entry.record);
            leavingSince = isKnown ? entry.leavingSince : nowMillis;
        }
        entries.put(record.id(), new Entry(record, revision, leavingSince, 0));
        isChanged = true;
    }

    /**
     * Handles the word of a server itself, or of another entry, that the server leaves. It counts for the server's
     * present life; a later registration may revoke it.
     *
     * @param id the id of the server, not null
     * @param startedAtMillis the start of the life that ends
     * @param nowMillis the present time
     * @return whether this is news
     */
    public boolean leaveAnnounced(String id, long startedAtMillis, long nowMillis) {
        Entry entry = entries.get(id);
        if (entry == null || entry.leavingSince > 0 || entry.record.startedAtMillis() != startedAtMillis) {
            return false;
        }
        entries.put(id, new Entry(entry.record, entry.revision, nowMillis, entry.vanishedAt));
        isChanged = true;
        return true;
    }

    /**
     * Handles the removal of a registration.
     *
     * @param id the id of the server, not null
     * @param revision the store's revision of the removal
     * @param nowMillis the present time
     */
    public void removed(String id, long revision, long nowMillis) {
        Entry entry = entries.get(id);
        if (entry == null || revision <= entry.revision) {
            return;
        }
        entries.put(id, withoutRegistration(entry, revision, nowMillis));
        isChanged = true;
    }

    /**
     * Handles the complete list of registrations, as of a revision. Servers that are not listed are removed.
     *
     * @param ids the ids in the list, not null
     * @param revision the revision up to which the list is complete
     * @param nowMillis the present time
     */
    public void listed(Set<String> ids, long revision, long nowMillis) {
        for (String id : new HashSet<>(entries.keySet())) {
            if (!ids.contains(id) && entries.get(id).vanishedAt == 0) {
                removed(id, revision, nowMillis);
            }
        }
    }

    /** Notes that the store does not answer. */
    public void storeLost() {
        isStoreAway = true;
    }

    /**
     * Notes that the store answers.
     *
     * @param nowMillis the present time
     */
    public void storeAnswered(long nowMillis) {
        if (isStoreAway) {
            isStoreAway = false;
            storeBackAtMillis = nowMillis;
        }
    }

    /**
     * Applies the passing of time.
     *
     * @param nowMillis the present time
     */
    public void tick(long nowMillis) {
        for (Map.Entry<String, Entry> each : entries.entrySet()) {
            Entry entry = each.getValue();
            if (entry.vanishedAt > 0 && entry.leavingSince == 0 && !isInGrace(nowMillis)) {
                each.setValue(new Entry(entry.record, entry.revision, nowMillis, entry.vanishedAt));
                isChanged = true;
            }
        }
        isChanged |= entries.values().removeIf(e -> e.vanishedAt > 0 && nowMillis - e.vanishedAt > FORGET_MILLIS);
    }

    /**
     * Returns the present state.
     *
     * @return the snapshot, the same object as before if nothing changed, never null
     */
    public FleetSnapshot snapshot() {
        if (isChanged) {
            isChanged = false;
            snapshot = new FleetSnapshot(entries.values().stream()
                    .map(e -> new FleetServer(
                            e.record, e.leavingSince > 0 ? ServerState.LEAVING : ServerState.READY, e.leavingSince))
                    .toList());
        }
        return snapshot;
    }

    private Entry withoutRegistration(Entry entry, long revision, long nowMillis) {
        boolean mayHaveLapsed = entry.leavingSince == 0 && isInGrace(nowMillis);
        long leavingSince = entry.leavingSince;
        if (leavingSince == 0 && !mayHaveLapsed) {
            leavingSince = nowMillis;
        }
        return new Entry(entry.record, revision, leavingSince, nowMillis);
    }

    private boolean isInGrace(long nowMillis) {
        return isStoreAway || nowMillis - storeBackAtMillis < LAPSE_GRACE_MILLIS;
    }

    private record Entry(ServerRegistration record, long revision, long leavingSince, long vanishedAt) {}
}
