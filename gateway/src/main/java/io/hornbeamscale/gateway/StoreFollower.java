package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.FleetController;
import io.hornbeamscale.core.fleet.ServerRegistration;
import io.hornbeamscale.core.route.RouteDocument;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Follows the store: lists everything once, then watches for changes, and lists again when the store has dropped the
 * changes in between. Items that other entries pass on are applied in the same way; of each key the greatest revision
 * counts. Methods run on the control thread.
 */
final class StoreFollower {
    /**
     * How long one watch waits for a change, in milliseconds. A connection that has fallen silent is noticed after this
     * time and {@link #LATE_MILLIS}, which must stay below the time in which a change has to be in force.
     */
    static final long WAIT_MILLIS = 1_500;

    /** How much later than asked a watch may end, in milliseconds. */
    static final long LATE_MILLIS = 700;

    /** The pause before a failed call is repeated, in milliseconds; doubled up to the next constant. */
    private static final long FIRST_PAUSE_MILLIS = 50;

    private static final long MAX_PAUSE_MILLIS = 400;

    /** How long a removed item is kept for other entries, in milliseconds. */
    private static final long REMOVED_MILLIS = 60_000;

    /** The size of all values in one message to another entry, in bytes; a frame holds a megabyte. */
    private static final int MAX_PASSED_BYTES = 700_000;

    private final MetadataStore store;
    private final StoreSchema schema;
    private final FleetController fleet;
    private final Consumer<Runnable> control;
    private final BiConsumer<Long, Runnable> later;
    private final Listener listener;
    private final DecisionLog log;
    private final Map<String, StoreItem> items = new HashMap<>();
    private final Map<String, Long> removedAt = new HashMap<>();
    private RouteDocument document;
    private long watchRevision;
    private long knownRevision;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private boolean isAway = true;

    /**
     * Creates a follower.
     *
     * @param control runs a task on the control thread
     * @param later runs a task on the control thread after a number of milliseconds
     */
    StoreFollower(
            MetadataStore store,
            StoreSchema schema,
            FleetController fleet,
            Consumer<Runnable> control,
            BiConsumer<Long, Runnable> later,
            Listener listener,
            DecisionLog log) {
        this.store = store;
        this.schema = schema;
        this.fleet = fleet;
        this.control = control;
        this.later = later;
        this.listener = listener;
        this.log = log;
    }

    void start() {
        list("", new ArrayList<>(), Long.MAX_VALUE);
    }

    /** Returns the revision up to which all changes are known, from the store or from another entry. */
    long knownRevision() {
        return knownRevision;
    }

    /** Returns whether the store does not answer. */
    boolean isAway() {
        return isAway;
    }

    /** Returns the version of the document in force, 0 if there is none. */
    long documentVersion() {
        return document == null ? 0 : document.version();
    }

    /** Returns the items that changed behind a revision, the oldest first, as far as they fit into one message. */
    Passed changesAfter(long revision) {
        List<StoreItem> changed = new ArrayList<>(items.values().stream()
                .filter(i -> i.revision() > revision)
                .sorted((a, b) -> Long.compare(a.revision(), b.revision()))
                .toList());
        int bytes = 0;
        for (int i = 0; i < changed.size(); i++) {
            bytes += changed.get(i).isRemoved() ? 0 : changed.get(i).value().length;
            if (bytes > MAX_PASSED_BYTES && i > 0) {
                return new Passed(changed.get(i - 1).revision(), List.copyOf(changed.subList(0, i)));
            }
        }
        return new Passed(knownRevision, changed);
    }

    /** Applies items that another entry passed on. */
    void passedOn(List<StoreItem> passed, long revision, long nowMillis) {
        for (StoreItem item : passed) {
            apply(item, "another entry", nowMillis);
        }
        knownRevision = Math.max(knownRevision, revision);
        listener.changed();
    }

    void tick(long nowMillis) {
        removedAt.entrySet().removeIf(e -> {
            boolean isOld = nowMillis - e.getValue() > REMOVED_MILLIS;
            if (isOld) {
                items.remove(e.getKey());
            }
            return isOld;
        });
    }

    private void list(String afterKey, List<StoreItem> before, long firstRevision) {
        store.list("", afterKey, result -> control.accept(() -> listed(result, before, firstRevision)));
    }

    private void listed(StoreResult result, List<StoreItem> before, long firstRevision) {
        long now = ControlLoop.now();
        if (!(result instanceof StoreResult.Items page)) {
            away(result, this::start);
            return;
        }
        answered(now);
        // Pages are read one after the other, so only what the first page knew is complete.
        long complete = Math.min(firstRevision, page.revision());
        before.addAll(page.items());
        if (page.hasMore() && !page.items().isEmpty()) {
            list(page.items().get(page.items().size() - 1).key(), before, complete);
            return;
        }
        Set<String> present = new HashSet<>();
        for (StoreItem item : before) {
            present.add(item.key());
            apply(item, "the store's list", now);
        }
        for (String key : List.copyOf(items.keySet())) {
            StoreItem known = items.get(key);
            if (!present.contains(key) && !known.isRemoved() && known.revision() <= complete) {
                apply(StoreItem.removed(key, complete), "the store's list", now);
            }
        }
        watchRevision = complete;
        knownRevision = Math.max(knownRevision, complete);
        listener.changed();
        watch();
    }

    private void watch() {
        store.watch("", watchRevision, WAIT_MILLIS, result -> control.accept(() -> watched(result)));
    }

    private void watched(StoreResult result) {
        long now = ControlLoop.now();
        if (result instanceof StoreResult.HistoryLost) {
            log.storeEvent("history_lost", "revision " + watchRevision);
            start();
            return;
        }
        if (!(result instanceof StoreResult.Items changes)) {
            away(result, this::watch);
            return;
        }
        answered(now);
        for (StoreItem item : changes.items()) {
            apply(item, "the store", now);
        }
        watchRevision = Math.max(watchRevision, changes.revision());
        knownRevision = Math.max(knownRevision, watchRevision);
        if (!changes.items().isEmpty()) {
            listener.changed();
        }
        watch();
    }

    private void answered(long nowMillis) {
        fleet.storeAnswered(nowMillis);
        pauseMillis = FIRST_PAUSE_MILLIS;
        if (isAway) {
            isAway = false;
            log.storeEvent("store_regained", "revision " + watchRevision);
        }
    }

    private void away(StoreResult result, Runnable again) {
        fleet.storeLost();
        if (!isAway) {
            isAway = true;
            log.storeEvent("store_lost", String.valueOf(result));
        }
        later.accept(pauseMillis, again);
        pauseMillis = Math.min(MAX_PAUSE_MILLIS, pauseMillis * 2);
    }

    private void apply(StoreItem item, String source, long nowMillis) {
        StoreItem known = items.get(item.key());
        if (known != null && known.revision() >= item.revision()) {
            return;
        }
        items.put(item.key(), item);
        if (item.isRemoved()) {
            removedAt.put(item.key(), nowMillis);
        } else {
            removedAt.remove(item.key());
        }
        String key = item.key();
        if (key.equals(schema.documentKey())) {
            applyDocument(item, source);
        } else if (key.startsWith(schema.serverPrefix())) {
            applyServer(key.substring(schema.serverPrefix().length()), item, source, nowMillis);
        } else if (key.startsWith(schema.entryPrefix())) {
            listener.entry(key.substring(schema.entryPrefix().length()), Optional.ofNullable(item.value()));
        }
    }

    private void applyDocument(StoreItem item, String source) {
        if (item.isRemoved()) {
            return;
        }
        Optional<RouteDocument> decoded = schema.decodeDocument(item.value());
        if (decoded.isEmpty()) {
            log.storeEvent("document_unreadable", "revision " + item.revision());
            return;
        }
        // Versions only rise: a request must never be handled by an older document than one before it.
        if (document == null || decoded.get().version() > document.version()) {
            document = decoded.get();
            log.storeEvent("document", "version " + document.version() + " from " + source);
            listener.document(document);
        }
    }

    private void applyServer(String id, StoreItem item, String source, long nowMillis) {
        if (item.isRemoved()) {
            fleet.removed(id, item.revision(), nowMillis);
            log.serverEvent(id, "removed", source, item.revision());
            return;
        }
        Optional<ServerRegistration> decoded = schema.decodeServer(id, item.value());
        if (decoded.isEmpty()) {
            // Written by something else than the server, so it says nothing about the server.
            log.serverEvent(id, "unreadable", source, item.revision());
            return;
        }
        fleet.registered(decoded.get(), item.revision(), nowMillis);
        log.serverEvent(id, decoded.get().isDraining() ? "draining" : "ready", source, item.revision());
    }

    /**
     * Changes for another entry.
     *
     * @param revision the revision up to which the other entry knows all changes with these
     * @param items the changed items, the oldest first
     */
    record Passed(long revision, List<StoreItem> items) {}

    /** Hears of what the store holds. */
    interface Listener {
        /** A newer document is in force. */
        void document(RouteDocument document);

        /** An entry has registered, or its registration is gone. */
        void entry(String name, Optional<byte[]> value);

        /** A batch of changes was applied. */
        void changed();
    }
}
