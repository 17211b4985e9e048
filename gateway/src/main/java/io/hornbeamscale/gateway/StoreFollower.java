package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.FleetController;
import io.hornbeamscale.core.route.RouteDocument;
import io.hornbeamscale.core.store.StoreRevision;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Follows the store: lists all items once, then watches for changes, and lists again if the store no longer has the
 * changes in between or was restored from an older copy. Items received from other entries are applied in the same way;
 * for each key, the greatest revision wins. Methods run on the control thread.
 */
final class StoreFollower {
    /**
     * How long one watch waits for a change, in milliseconds. A dead connection is detected after this time plus {@link
     * #WATCH_MARGIN_MILLIS}, which together must stay below the time within which a change must take effect.
     */
    static final long WATCH_WAIT_MILLIS = 1_500;

    /** How much longer than requested a watch may take, in milliseconds. */
    static final long WATCH_MARGIN_MILLIS = 700;

    /**
     * How long the first call after a failed one waits for a change, in milliseconds. It answers soon whether the store
     * is available; a watch of the usual length would leave that open until something changes.
     */
    static final long PROBE_WAIT_MILLIS = 10;

    /**
     * The pause before the first retry of a failed call, in milliseconds; it doubles up to {@link
     * #MAX_RETRY_PAUSE_MILLIS}.
     */
    private static final long MIN_RETRY_PAUSE_MILLIS = 50;

    private static final long MAX_RETRY_PAUSE_MILLIS = 400;

    /**
     * The time over which entries that do not watch spread their lists after the store was restored, in milliseconds.
     */
    static final long RESTORE_SPREAD_MILLIS = 800;

    private final MetadataStore store;
    private final String documentKey;
    private final FleetController fleet;
    private final Consumer<Runnable> control;
    private final BiConsumer<Long, Runnable> executeLater;
    private final Listener listener;
    private final DecisionLog log;
    private final RandomGenerator random;
    private final StoreItems items;
    private StoreRevision watchRevision = StoreRevision.NONE;
    private StoreRevision knownRevision = StoreRevision.NONE;
    private long era;

    /** The number of times that a list was begun or scheduled; results of calls before the last one are ignored. */
    private int sequence;

    private long pauseMillis = MIN_RETRY_PAUSE_MILLIS;
    private boolean isStoreLost = true;
    private boolean isWatching = true;
    private boolean isCalling = true;
    private boolean isListing = true;

    /** Whether a later era has begun and its list has not arrived yet. */
    private boolean isRestored;

    /**
     * Creates a follower that is not started.
     *
     * @param control runs a task on the control thread
     * @param executeLater runs a task on the control thread after a number of milliseconds
     * @param random the source of jitter
     */
    StoreFollower(
            MetadataStore store,
            StoreSchema schema,
            FleetController fleet,
            Consumer<Runnable> control,
            BiConsumer<Long, Runnable> executeLater,
            Listener listener,
            DecisionLog log,
            RandomGenerator random) {
        this.store = store;
        this.documentKey = schema.documentKey();
        this.fleet = fleet;
        this.control = control;
        this.executeLater = executeLater;
        this.listener = listener;
        this.log = log;
        this.random = random;
        items = new StoreItems(schema, fleet, executeLater, listener, log);
    }

    /** Lists all items. A call in progress is abandoned. */
    void start() {
        sequence++;
        isCalling = true;
        isListing = true;
        list("", new ArrayList<>(), null);
    }

    /** Returns the revision up to which all changes are known, from the store or from other entries. */
    StoreRevision knownRevision() {
        return knownRevision;
    }

    /** Returns the latest era of the store that is known, 0 if none is. */
    long era() {
        return era;
    }

    /** Returns whether the last call to the store failed, or none has succeeded yet. */
    boolean isStoreLost() {
        return isStoreLost;
    }

    /** Returns the version of the document in force, 0 if there is none. */
    long documentVersion() {
        return items.documentVersion();
    }

    /**
     * Returns the items that changed after a revision, oldest first, as far as they fit into one message. A single
     * larger item is returned alone. One that fits into no message is left out, and the batch is complete only up to
     * the revision before it.
     */
    ChangeBatch changesAfter(StoreRevision revision) {
        return items.changesAfter(revision, knownRevision);
    }

    /**
     * Applies items received from another entry.
     *
     * @param afterRevision the revision after which the items contain all changes
     * @param revision the revision up to which the items contain all changes
     */
    void applyFromPeer(List<StoreItem> received, StoreRevision afterRevision, StoreRevision revision, long nowMillis) {
        eraSeen(revision.era(), nowMillis);
        if (revision.era() < knownRevision.era()) {
            return;
        }
        for (StoreItem item : received) {
            items.apply(item, "another entry", nowMillis);
        }
        if (!afterRevision.isAfter(knownRevision)) {
            knownRevision = StoreRevision.latest(knownRevision, revision);
        }
        listener.changesApplied();
    }

    /**
     * Starts or stops watching the store. Whether the store is available, which decides if a removed registration may
     * have expired in an outage, is told by the entry's own calls while it watches. An entry stops watching only if
     * enough other entries reach the store, so the store counts as available to it until it watches again, whatever
     * its own calls find. After a start, the store counts as unavailable until the first call succeeds.
     */
    void setWatching(boolean isEnabled, long nowMillis) {
        if (isWatching == isEnabled) {
            return;
        }
        isWatching = isEnabled;
        log.storeEvent(isEnabled ? "watch_started" : "watch_stopped", "revision " + knownRevision);
        if (!isEnabled) {
            fleet.storeAnswered(nowMillis);
            return;
        }
        if (isStoreLost || !isCalling) {
            fleet.storeLost(nowMillis);
        }
        if (!isCalling) {
            watchRevision = StoreRevision.latest(watchRevision, knownRevision);
            watch();
        }
    }

    /** Notes that another entry that watches the store reaches it. */
    void peerReachedStore(long nowMillis) {
        if (!isWatching) {
            fleet.storeAnswered(nowMillis);
        }
    }

    /**
     * Reads the changes since the known revision from the store with a single call, unless the store is lost or a call
     * is in progress already.
     *
     * @return whether the call was made, or the list that follows a restore is due or in progress
     */
    boolean catchUp() {
        if (isStoreLost || isCalling) {
            return isRestored && isListing && !isStoreLost;
        }
        isCalling = true;
        watchRevision = StoreRevision.latest(watchRevision, knownRevision);
        callWatch();
        return true;
    }

    /** Returns whether this entry watches the store itself and its last call succeeded. */
    boolean hasWorkingWatch() {
        return isWatching && isCalling && !isStoreLost;
    }

    void tick(long nowMillis) {
        items.tick(nowMillis);
    }

    /**
     * Handles the era of the store that another call or another entry has found. If it is later than the known one, the
     * store was restored from an older copy, and all items are listed anew: at once if this entry watches, else after
     * a random time, so that many entries do not list at once.
     */
    void eraSeen(long seen, long nowMillis) {
        if (!advanceEra(seen, nowMillis)) {
            return;
        }
        if (isWatching) {
            start();
            return;
        }
        sequence++;
        isCalling = true;
        isListing = true;
        executeLater.accept(random.nextLong(RESTORE_SPREAD_MILLIS), ifCurrent(this::start));
    }

    /** Records the era of a result, and returns whether it is a later one that makes known items outdated. */
    private boolean advanceEra(long seen, long nowMillis) {
        if (seen <= era) {
            return false;
        }
        long before = era;
        era = seen;
        if (before == 0 && items.isEmpty() && knownRevision.equals(StoreRevision.NONE)) {
            return false;
        }
        log.storeEvent("era", "from " + before + " to " + seen + ", known revision " + knownRevision);
        isRestored = true;
        items.storeRestored(nowMillis);
        listener.eraChanged(seen);
        return true;
    }

    private void list(String afterKey, List<StoreItem> previousItems, StoreRevision firstRevision) {
        store.list("", afterKey, handle(result -> listed(result, previousItems, firstRevision), this::start));
    }

    private void listed(StoreResult result, List<StoreItem> previousItems, StoreRevision firstRevision) {
        long now = ControlLoop.now();
        advanceEra(result.era(), now);
        if (!(result instanceof StoreResult.Items page)) {
            storeLost(result, this::start);
            return;
        }
        storeAnswered(now);
        if (page.era() < era || (firstRevision != null && firstRevision.era() < era)) {
            start();
            return;
        }
        // Pages are read one after another, so the list is complete only up to the revision of the first page.
        StoreRevision revision = firstRevision == null ? page.revision() : firstRevision;
        previousItems.addAll(page.items());
        if (page.hasMore() && !page.items().isEmpty()) {
            list(page.items().get(page.items().size() - 1).key(), previousItems, revision);
            return;
        }
        isListing = false;
        items.applyList(previousItems, "", revision, now);
        watchRevision = revision;
        knownRevision = StoreRevision.latest(knownRevision, revision);
        listener.changesApplied();
        boolean isNewEra = isRestored;
        isRestored = false;
        watch();
        if (isNewEra && isWatching) {
            listener.eraListed();
        }
    }

    /**
     * Reads the present state in place of changes that are too large to be received: the list has each item only once,
     * in its newest version. The keys behind the document, which the servers' are among, come first, so that a server
     * that leaves does not wait for a large document.
     */
    private void readPresentState() {
        log.storeEvent("changes_too_large", "revision " + watchRevision);
        store.list("", documentKey, handle(this::restListed, this::start));
    }

    private void restListed(StoreResult result) {
        long now = ControlLoop.now();
        advanceEra(result.era(), now);
        if (result instanceof StoreResult.Items page && page.era() == era) {
            storeAnswered(now);
            if (page.hasMore()) {
                page.items().forEach(item -> items.apply(item, "the store's list", now));
            } else {
                items.applyList(page.items(), documentKey, page.revision(), now);
            }
            listener.changesApplied();
        }
        start();
    }

    /** Makes the next call if the entry watches, or has to find out when the store answers it again. */
    private void watch() {
        isCalling = isWatching || isStoreLost;
        if (!isCalling) {
            return;
        }
        callWatch();
    }

    private void callWatch() {
        long wait = isStoreLost || fleet.isStoreUnavailable() ? PROBE_WAIT_MILLIS : WATCH_WAIT_MILLIS;
        store.watch("", watchRevision.revision(), wait, handle(this::watched, this::start));
    }

    /**
     * Returns the handler of a call's result, which runs on the control thread. The next call follows from the handler,
     * so after an unexpected error the store is listed again; otherwise the entry would follow it no longer. The result
     * of an abandoned call is ignored.
     */
    private Consumer<StoreResult> handle(Consumer<StoreResult> handler, Runnable retry) {
        int current = sequence;
        return result -> control.accept(() -> {
            if (current != sequence) {
                return;
            }
            try {
                handler.accept(result);
            } catch (RuntimeException | StackOverflowError e) {
                log.failure("handling a result of the store", e);
                executeLater.accept(MAX_RETRY_PAUSE_MILLIS, ifCurrent(retry));
            }
        });
    }

    /** Returns a task that does nothing if all items are listed anew before it runs. */
    private Runnable ifCurrent(Runnable task) {
        int current = sequence;
        return () -> {
            if (current == sequence) {
                task.run();
            }
        };
    }

    private void watched(StoreResult result) {
        long now = ControlLoop.now();
        advanceEra(result.era(), now);
        if (result instanceof StoreResult.Unavailable || (!isRestored && result.era() == era)) {
            applyWatched(result, now);
            return;
        }
        // Changes below the revision of the watch may be missing from the response, so all items are listed.
        storeAnswered(now);
        start();
    }

    private void applyWatched(StoreResult result, long now) {
        if (result instanceof StoreResult.HistoryLost) {
            log.storeEvent("history_lost", "revision " + watchRevision);
            start();
            return;
        }
        if (result instanceof StoreResult.Incomplete) {
            readPresentState();
            return;
        }
        if (!(result instanceof StoreResult.Items changes)) {
            storeLost(result, isRestored ? this::start : this::watch);
            return;
        }
        storeAnswered(now);
        List<StoreItem> news = new ArrayList<>();
        for (StoreItem item : changes.items()) {
            if (items.apply(item, "the store", now)) {
                news.add(item);
            }
        }
        StoreRevision before = watchRevision;
        watchRevision = StoreRevision.latest(watchRevision, changes.revision());
        knownRevision = StoreRevision.latest(knownRevision, watchRevision);
        if (!changes.items().isEmpty()) {
            listener.changesApplied();
        }
        watch();
        if (isWatching && !news.isEmpty()) {
            listener.changesWatched(before, new ChangeBatch(watchRevision, news));
        }
    }

    private void storeAnswered(long nowMillis) {
        fleet.storeAnswered(nowMillis);
        pauseMillis = MIN_RETRY_PAUSE_MILLIS;
        if (isStoreLost) {
            isStoreLost = false;
            log.storeEvent("store_regained", "revision " + watchRevision);
        }
    }

    private void storeLost(StoreResult result, Runnable retry) {
        if (isWatching) {
            fleet.storeLost(ControlLoop.now());
        }
        if (!isStoreLost) {
            isStoreLost = true;
            log.storeEvent("store_lost", String.valueOf(result));
        }
        executeLater.accept(pauseMillis, ifCurrent(retry));
        pauseMillis = Math.min(MAX_RETRY_PAUSE_MILLIS, pauseMillis * 2);
    }

    /**
     * A batch of changes for another entry.
     *
     * @param revision the revision up to which all changes are known once the batch is applied
     * @param items the changed items, oldest first
     */
    record ChangeBatch(StoreRevision revision, List<StoreItem> items) {
        /** Returns the size of all values, in bytes. */
        long valueBytes() {
            return items.stream()
                    .filter(item -> !item.isRemoved())
                    .mapToLong(item -> item.value().length)
                    .sum();
        }

        /** Returns the removed items and those whose value has at most some size, in bytes. */
        List<StoreItem> itemsUpTo(long maxBytes) {
            return items.stream()
                    .filter(item -> item.isRemoved() || item.value().length <= maxBytes)
                    .toList();
        }
    }

    /** Receives the changes in the store. */
    interface Listener {
        /** Handles a newer document. */
        void documentChanged(RouteDocument document);

        /** Handles the registration of an entry; the value is empty if it was removed. */
        void entryChanged(String name, Optional<byte[]> value);

        /** Handles the end of a batch of changes. */
        void changesApplied();

        /**
         * Handles changes that the store's watch delivered and that no other entry had passed on before.
         *
         * @param afterRevision the revision after which the batch contains all changes not passed on before
         */
        void changesWatched(StoreRevision afterRevision, ChangeBatch batch);

        /**
         * Handles that the store was restored from an older copy; what this entry wrote there may be gone.
         *
         * @param era the era that began
         */
        void eraChanged(long era);

        /** Handles that an entry that watches knows all items of a later era. */
        void eraListed();
    }
}
