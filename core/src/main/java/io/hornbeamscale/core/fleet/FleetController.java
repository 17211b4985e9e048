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
    static final long REMOVED_RETENTION_MILLIS = 60_000;

    private final Map<String, TrackedServer> servers = new HashMap<>();
    private boolean isStoreUnavailable = true;
    private long storeAvailableSinceMillis = Long.MIN_VALUE / 2;
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
        TrackedServer entry = servers.get(record.id());
        if (entry != null && revision <= entry.revision) {
            return;
        }
        if (entry != null && record.isOlderThan(entry.registration)) {
            // A registration that was delayed on its way must not undo a later one.
            servers.put(
                    record.id(),
                    new TrackedServer(entry.registration, revision, entry.leavingSinceMillis, entry.removedAtMillis));
            return;
        }
        long leavingSince = 0;
        if (record.isDraining()) {
            boolean isKnown =
                    entry != null && entry.leavingSinceMillis > 0 && record.isSameIncarnation(entry.registration);
            leavingSince = isKnown ? entry.leavingSinceMillis : nowMillis;
        }
        servers.put(record.id(), new TrackedServer(record, revision, leavingSince, 0));
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
        TrackedServer entry = servers.get(id);
        if (entry == null || entry.leavingSinceMillis > 0 || entry.registration.startedAtMillis() != startedAtMillis) {
            return false;
        }
        servers.put(id, new TrackedServer(entry.registration, entry.revision, nowMillis, entry.removedAtMillis));
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
        TrackedServer entry = servers.get(id);
        if (entry == null || revision <= entry.revision) {
            return;
        }
        servers.put(id, withoutRegistration(entry, revision, nowMillis));
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
        for (String id : new HashSet<>(servers.keySet())) {
            if (!ids.contains(id) && servers.get(id).removedAtMillis == 0) {
                removed(id, revision, nowMillis);
            }
        }
    }

    /** Notes that the store does not answer. */
    public void storeLost() {
        isStoreUnavailable = true;
    }

    /**
     * Notes that the store answers.
     *
     * @param nowMillis the present time
     */
    public void storeAnswered(long nowMillis) {
        if (isStoreUnavailable) {
            isStoreUnavailable = false;
            storeAvailableSinceMillis = nowMillis;
        }
    }

    /**
     * Applies the passing of time.
     *
     * @param nowMillis the present time
     */
    public void tick(long nowMillis) {
        for (Map.Entry<String, TrackedServer> each : servers.entrySet()) {
            TrackedServer entry = each.getValue();
            if (entry.removedAtMillis > 0 && entry.leavingSinceMillis == 0 && !isInGrace(nowMillis)) {
                each.setValue(new TrackedServer(entry.registration, entry.revision, nowMillis, entry.removedAtMillis));
                isChanged = true;
            }
        }
        isChanged |= servers.values()
                .removeIf(e -> e.removedAtMillis > 0 && nowMillis - e.removedAtMillis > REMOVED_RETENTION_MILLIS);
    }

    /**
     * Returns the present state.
     *
     * @return the snapshot, the same object as before if nothing changed, never null
     */
    public FleetSnapshot snapshot() {
        if (isChanged) {
            isChanged = false;
            snapshot = new FleetSnapshot(servers.values().stream()
                    .map(e -> new FleetServer(
                            e.registration,
                            e.leavingSinceMillis > 0 ? ServerState.LEAVING : ServerState.READY,
                            e.leavingSinceMillis))
                    .toList());
        }
        return snapshot;
    }

    private TrackedServer withoutRegistration(TrackedServer entry, long revision, long nowMillis) {
        boolean mayHaveLapsed = entry.leavingSinceMillis == 0 && isInGrace(nowMillis);
        long leavingSince = entry.leavingSinceMillis;
        if (leavingSince == 0 && !mayHaveLapsed) {
            leavingSince = nowMillis;
        }
        return new TrackedServer(entry.registration, revision, leavingSince, nowMillis);
    }

    private boolean isInGrace(long nowMillis) {
        return isStoreUnavailable || nowMillis - storeAvailableSinceMillis < LAPSE_GRACE_MILLIS;
    }

    private record TrackedServer(
            ServerRegistration registration, long revision, long leavingSinceMillis, long removedAtMillis) {}
}
