package io.hornbeamscale.core.fleet;

import io.hornbeamscale.core.store.StoreRevision;
import io.hornbeamscale.core.util.Arguments;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Derives from registrations which backend servers take requests. Registrations arrive from the store or through
 * another entry, in any order and more than once; the greatest revision of an id takes precedence. During an outage of
 * the store, a registration may expire although its server is alive, so a removed registration remains valid for a
 * grace period after the store has recovered. The same holds if the store was restored from an older copy, which may
 * lack registrations of live servers and contain those of servers that have left. Not safe for use by several threads.
 */
public final class FleetController {
    /**
     * How long a registration that was removed during an outage remains valid after the store has recovered, in
     * milliseconds. The platform guarantees that live servers register again within about 2,000 ms.
     */
    public static final long LAPSE_GRACE_MILLIS = 2_200;

    /**
     * The least time without an answer from the store in which a registration can expire, in milliseconds: it expires
     * after three intervals of silence, and its server has reported within the last interval of about 1,200 ms.
     */
    static final long MIN_LAPSE_MILLIS = 2_000;

    /** How long a removed server is kept, in milliseconds; longer than any server serves after its removal. */
    static final long REMOVED_RETENTION_MILLIS = 60_000;

    private final Map<String, TrackedServer> servers = new HashMap<>();
    private final EarlierIncarnations earlier = new EarlierIncarnations();
    private boolean isStoreUnavailable = true;
    private boolean isRetryFailed;
    private long storeLostMillis;
    private long storeAnsweredMillis = Long.MIN_VALUE / 2;
    private long graceEndMillis = Long.MIN_VALUE / 2;
    private final Set<String> evacuatedZones = new HashSet<>();
    private FleetSnapshot snapshot = FleetSnapshot.EMPTY;
    private boolean isChanged;

    /**
     * Handles a registration. A registration that is not newer than the known one has no effect. Of two incarnations of
     * a server, the one with the greater revision in the store is the newer one, unless it was replaced before.
     *
     * @param registration the registration, not null
     * @param revision the revision of the registration in the store, not null
     * @param nowMillis the present time
     */
    public void registered(ServerRegistration registration, StoreRevision revision, long nowMillis) {
        Arguments.notNull(registration, "registration");
        TrackedServer tracked = servers.get(registration.id());
        if (tracked != null && !revision.isAfter(tracked.revision)) {
            return;
        }
        if (tracked != null && isDelayed(registration, revision, tracked)) {
            // A delayed registration must not override a later one.
            servers.put(registration.id(), tracked.at(revision));
            return;
        }
        if (tracked != null && isReplaced(tracked, registration, revision)) {
            earlier.add(tracked.registration);
        }
        long leavingSince = 0;
        if (registration.isDraining()) {
            boolean isAlreadyLeaving = tracked != null
                    && tracked.leavingSinceMillis > 0
                    && registration.isSameIncarnation(tracked.registration);
            leavingSince = isAlreadyLeaving ? tracked.leavingSinceMillis : nowMillis;
        }
        servers.put(
                registration.id(),
                new TrackedServer(
                        registration,
                        revision,
                        leavingSince,
                        revision.era(),
                        0,
                        coldUntilMillis(registration, tracked, nowMillis)));
        isChanged = true;
    }

    /** Returns when the server is no longer cold; a registration that is read once more does not prolong this. */
    private static long coldUntilMillis(ServerRegistration registration, TrackedServer tracked, long nowMillis) {
        boolean isKnown = tracked != null
                && registration.isSameIncarnation(tracked.registration)
                && registration.sequence() <= tracked.registration.sequence();
        return isKnown ? tracked.coldUntilMillis : nowMillis + registration.slowStartMillis();
    }

    /**
     * Handles the announcement, by the server itself or by another entry, that a server leaves. It applies to the
     * current incarnation of the server; a later registration may revoke it.
     *
     * @param id the id of the server, not null
     * @param startedAtMillis the start time of the incarnation that leaves, in milliseconds
     * @param nowMillis the present time
     * @return whether the announcement changed the state of the server
     */
    public boolean leaveAnnounced(String id, long startedAtMillis, long nowMillis) {
        TrackedServer tracked = servers.get(id);
        if (tracked == null
                || tracked.leavingSinceMillis > 0
                || tracked.registration.startedAtMillis() != startedAtMillis) {
            return false;
        }
        servers.put(id, tracked.leaving(nowMillis));
        isChanged = true;
        return true;
    }

    /**
     * Handles the removal of a registration. An outdated or unknown removal has no effect.
     *
     * @param id the id of the server, not null
     * @param revision the revision of the removal in the store, not null
     * @param nowMillis the present time
     */
    public void removed(String id, StoreRevision revision, long nowMillis) {
        TrackedServer tracked = servers.get(id);
        if (tracked == null || !revision.isAfter(tracked.revision)) {
            return;
        }
        servers.put(id, withoutRegistration(tracked, revision, nowMillis));
        isChanged = true;
    }

    /**
     * Handles the complete list of registrations at a revision. Servers that are not listed are removed unless they
     * registered at a later revision.
     *
     * @param ids the ids of the listed servers, not null
     * @param revision the revision of the list, not null
     * @param nowMillis the present time
     */
    public void listed(Set<String> ids, StoreRevision revision, long nowMillis) {
        for (String id : new HashSet<>(servers.keySet())) {
            if (!ids.contains(id) && servers.get(id).removedAtMillis == 0) {
                removed(id, revision, nowMillis);
            }
        }
    }

    /**
     * Records whether the operators have evacuated an availability zone, so that its servers get no requests.
     *
     * @param zone the name of the zone, not null
     * @param isEvacuated whether the zone is evacuated now
     */
    public void zoneEvacuated(String zone, boolean isEvacuated) {
        Arguments.notNull(zone, "zone");
        isChanged |= isEvacuated ? evacuatedZones.add(zone) : evacuatedZones.remove(zone);
    }

    /**
     * Records that a call to the store failed, or that the store may not respond.
     *
     * @param nowMillis the present time
     */
    public void storeLost(long nowMillis) {
        isRetryFailed = isStoreUnavailable;
        if (!isStoreUnavailable) {
            isStoreUnavailable = true;
            storeLostMillis = nowMillis;
        }
    }

    /**
     * Returns whether the store counts as unavailable, so that its next answer is needed soon.
     *
     * @return whether a call failed, or none was made, since the last answer
     */
    public boolean isStoreUnavailable() {
        return isStoreUnavailable;
    }

    /**
     * Records that the store responds. The grace period begins if the store was unavailable before. One that is in
     * progress begins anew only if a registration could expire meanwhile: the store may cut a waiting call at any time,
     * and a grace period that each cut call renews would never end.
     *
     * @param nowMillis the present time
     */
    public void storeAnswered(long nowMillis) {
        if (isStoreUnavailable) {
            isStoreUnavailable = false;
            boolean mayHaveLapsed = nowMillis - storeAnsweredMillis >= MIN_LAPSE_MILLIS;
            if (mayHaveLapsed || storeLostMillis >= graceEndMillis) {
                graceEndMillis = nowMillis + LAPSE_GRACE_MILLIS;
            } else if (isRetryFailed) {
                // Servers could not register again in this time.
                graceEndMillis += nowMillis - storeLostMillis;
            }
            isRetryFailed = false;
        }
        storeAnsweredMillis = nowMillis;
    }

    /**
     * Records that the store was restored from an older copy. Live servers may be missing there until they register
     * again, so a grace period begins, even if no call to the store failed.
     *
     * @param nowMillis the present time
     */
    public void storeRestored(long nowMillis) {
        graceEndMillis = Math.max(graceEndMillis, nowMillis + LAPSE_GRACE_MILLIS);
        // Of an outage in progress, only the time from now on prolongs the grace period.
        storeLostMillis = nowMillis;
        isRetryFailed = false;
    }

    /**
     * Ends the grace period of removed registrations and drops servers that were removed long ago.
     *
     * @param nowMillis the present time
     */
    public void tick(long nowMillis) {
        for (Map.Entry<String, TrackedServer> each : servers.entrySet()) {
            TrackedServer tracked = each.getValue();
            if (tracked.removedAtMillis > 0 && tracked.leavingSinceMillis == 0 && !isInGrace(nowMillis)) {
                each.setValue(tracked.leaving(nowMillis));
                isChanged = true;
            }
        }
        isChanged |= servers.values().removeIf(s -> {
            boolean isForgotten = s.removedAtMillis > 0 && nowMillis - s.removedAtMillis > REMOVED_RETENTION_MILLIS;
            if (isForgotten) {
                earlier.forget(s.registration.id());
            }
            return isForgotten;
        });
    }

    /**
     * Returns the current state.
     *
     * @return the snapshot, the same instance as before if nothing changed, never null
     */
    public FleetSnapshot snapshot() {
        if (isChanged) {
            isChanged = false;
            snapshot = new FleetSnapshot(
                    servers.values().stream()
                            .map(s -> new FleetServer(
                                    s.registration,
                                    s.leavingSinceMillis > 0 ? ServerState.LEAVING : ServerState.READY,
                                    s.leavingSinceMillis,
                                    s.coldUntilMillis))
                            .toList(),
                    evacuatedZones);
        }
        return snapshot;
    }

    /** Returns whether a registration with a greater revision is older than the known one all the same. */
    private boolean isDelayed(ServerRegistration registration, StoreRevision revision, TrackedServer tracked) {
        ServerRegistration known = tracked.registration;
        boolean isLaterEra = revision.era() > tracked.registrationEra;
        if (registration.startedAtMillis() != known.startedAtMillis()) {
            // A restored copy may contain an incarnation from before the known one that was never seen here. The start
            // times tell, unless the clock of the server was set back; then its next registration is accepted.
            boolean isOlder = isLaterEra && registration.startedAtMillis() < known.startedAtMillis();
            return earlier.contains(registration) || (isOlder && earlier.awaitsConfirmation(registration));
        }
        if (registration.sequence() != known.sequence()) {
            return registration.sequence() < known.sequence();
        }
        // A restored copy may contain a registration from before the server left; only the server itself revokes that.
        return tracked.leavingSinceMillis > 0 && isLaterEra;
    }

    /**
     * Returns whether a registration shows that the known incarnation has ended. A restored copy may contain an
     * incarnation from before the known one, which the start times tell unless a clock was set back.
     */
    private static boolean isReplaced(TrackedServer tracked, ServerRegistration registration, StoreRevision revision) {
        long started = registration.startedAtMillis();
        long knownStarted = tracked.registration.startedAtMillis();
        return started != knownStarted && (started > knownStarted || revision.era() == tracked.registrationEra);
    }

    private TrackedServer withoutRegistration(TrackedServer tracked, StoreRevision revision, long nowMillis) {
        boolean mayHaveLapsed = tracked.leavingSinceMillis == 0 && isInGrace(nowMillis);
        long leavingSince = tracked.leavingSinceMillis;
        if (leavingSince == 0 && !mayHaveLapsed) {
            leavingSince = nowMillis;
        }
        // What follows the removal in its era was written later, so it counts unless the server had said that it
        // leaves.
        long era = tracked.leavingSinceMillis == 0 ? revision.era() : tracked.registrationEra;
        return new TrackedServer(tracked.registration, revision, leavingSince, era, nowMillis, tracked.coldUntilMillis);
    }

    private boolean isInGrace(long nowMillis) {
        return isStoreUnavailable || nowMillis < graceEndMillis;
    }

    /**
     * A server with its last registration.
     *
     * @param registration the last registration that was not delayed
     * @param revision the revision of the last registration or removal
     * @param leavingSinceMillis when it began to leave, 0 if it does not
     * @param registrationEra the era of the store in which the server was registered or removed last
     * @param removedAtMillis when its registration was removed, 0 if it exists
     * @param coldUntilMillis when its slow operation after the start ends
     */
    private record TrackedServer(
            ServerRegistration registration,
            StoreRevision revision,
            long leavingSinceMillis,
            long registrationEra,
            long removedAtMillis,
            long coldUntilMillis) {
        TrackedServer at(StoreRevision later) {
            return new TrackedServer(
                    registration, later, leavingSinceMillis, registrationEra, removedAtMillis, coldUntilMillis);
        }

        TrackedServer leaving(long sinceMillis) {
            return new TrackedServer(
                    registration, revision, sinceMillis, registrationEra, removedAtMillis, coldUntilMillis);
        }
    }
}
