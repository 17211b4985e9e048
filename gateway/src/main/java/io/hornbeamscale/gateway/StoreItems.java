package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.FleetController;
import io.hornbeamscale.core.fleet.ServerRegistration;
import io.hornbeamscale.core.route.RouteDocument;
import io.hornbeamscale.core.store.StoreRevision;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * The items of the store that this entry knows. For each key, the greatest revision wins. A change is applied to the
 * document, the fleet or the other entries. Methods run on the control thread.
 */
final class StoreItems {
    /** How long removed items are kept for other entries, in milliseconds. */
    private static final long REMOVED_RETENTION_MILLIS = 60_000;

    /**
     * How long entries that are missing after the store was restored keep their connections, in milliseconds. They
     * register again within {@link EntryRegistration#MAX_RESTORE_DELAY_MILLIS} after they have learned of it.
     */
    private static final long ENTRY_GRACE_MILLIS = 5_000;

    /** The greatest size of all values in one message to another entry, in bytes; a frame holds a megabyte. */
    private static final int MAX_BATCH_BYTES = 700_000;

    /** The greatest size of a value that fits into a message, in bytes; the rest of a frame is for the other fields. */
    private static final int MAX_ITEM_BYTES = 1_040_000;

    private final StoreSchema schema;
    private final FleetController fleet;
    private final BiConsumer<Long, Runnable> executeLater;
    private final StoreFollower.Listener listener;
    private final DecisionLog log;
    private final Map<String, StoreItem> items = new HashMap<>();
    private final Map<String, Long> removedAt = new HashMap<>();
    private long entryGraceEndMillis = Long.MIN_VALUE;
    private long evacuationGraceEndMillis = Long.MIN_VALUE;
    private RouteDocument document;

    StoreItems(
            StoreSchema schema,
            FleetController fleet,
            BiConsumer<Long, Runnable> executeLater,
            StoreFollower.Listener listener,
            DecisionLog log) {
        this.schema = schema;
        this.fleet = fleet;
        this.executeLater = executeLater;
        this.listener = listener;
        this.log = log;
    }

    boolean isEmpty() {
        return items.isEmpty();
    }

    /** Returns the version of the document in force, 0 if there is none. */
    long documentVersion() {
        return document == null ? 0 : document.version();
    }

    /** Notes that the store was restored from an older copy, which may lack what servers and entries wrote. */
    void storeRestored(long nowMillis) {
        entryGraceEndMillis = nowMillis + ENTRY_GRACE_MILLIS;
        evacuationGraceEndMillis = nowMillis + FleetController.LAPSE_GRACE_MILLIS;
        fleet.storeRestored(nowMillis);
    }

    /**
     * Applies all items of a list that is complete behind a key; known items that it lacks were removed, unless they
     * changed later.
     *
     * @param afterKey the key behind which the list begins, empty for a list of all items
     */
    void applyList(List<StoreItem> listed, String afterKey, StoreRevision revision, long nowMillis) {
        Set<String> present = new HashSet<>();
        for (StoreItem item : listed) {
            present.add(item.key());
            apply(item, "the store's list", nowMillis);
        }
        for (String key : List.copyOf(items.keySet())) {
            StoreItem known = items.get(key);
            boolean isMissing = key.compareTo(afterKey) > 0 && !present.contains(key);
            if (isMissing && !known.isRemoved() && !known.revision().isAfter(revision)) {
                apply(StoreItem.removed(key, revision), "the store's list", nowMillis);
            }
        }
    }

    /**
     * Returns the items that changed after a revision, oldest first, as far as they fit into one message. A single
     * larger item is returned alone. One that fits into no message is left out, and the batch is complete only up to
     * the revision before it.
     *
     * @param knownRevision the revision up to which all changes are known
     */
    StoreFollower.ChangeBatch changesAfter(StoreRevision revision, StoreRevision knownRevision) {
        List<StoreItem> changed = items.values().stream()
                .filter(i -> i.revision().isAfter(revision) && i.revision().era() >= knownRevision.era())
                .sorted(Comparator.comparing(StoreItem::revision))
                .toList();
        List<StoreItem> batch = new ArrayList<>();
        StoreRevision complete = knownRevision;
        int bytes = 0;
        for (StoreItem item : changed) {
            int size = item.isRemoved() ? 0 : item.value().length;
            if (size > MAX_ITEM_BYTES) {
                StoreRevision before =
                        new StoreRevision(item.revision().era(), item.revision().revision() - 1);
                complete = earliest(complete, before);
                continue;
            }
            if (bytes + size > MAX_BATCH_BYTES && !batch.isEmpty()) {
                StoreRevision last = batch.get(batch.size() - 1).revision();
                return new StoreFollower.ChangeBatch(earliest(complete, last), batch);
            }
            bytes += size;
            batch.add(item);
        }
        return new StoreFollower.ChangeBatch(complete, batch);
    }

    private static StoreRevision earliest(StoreRevision a, StoreRevision b) {
        return a.isAfter(b) ? b : a;
    }

    void tick(long nowMillis) {
        removedAt.entrySet().removeIf(e -> {
            boolean isExpired = nowMillis - e.getValue() > REMOVED_RETENTION_MILLIS;
            if (isExpired) {
                items.remove(e.getKey());
            }
            return isExpired;
        });
    }

    /** Applies an item; one that cannot be handled is logged and does not affect the others. */
    boolean apply(StoreItem item, String source, long nowMillis) {
        try {
            return applyChecked(item, source, nowMillis);
        } catch (RuntimeException | StackOverflowError e) {
            log.failure("applying the item " + item.key() + " at revision " + item.revision(), e);
            return false;
        }
    }

    /** Returns whether the item was not known. */
    private boolean applyChecked(StoreItem item, String source, long nowMillis) {
        StoreItem known = items.get(item.key());
        if (known != null && !item.revision().isAfter(known.revision())) {
            return false;
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
        } else if (key.startsWith(schema.evacuationPrefix())) {
            applyEvacuation(item, nowMillis);
        } else if (key.startsWith(schema.entryPrefix())) {
            applyEntry(item, nowMillis);
        }
        return true;
    }

    /**
     * Applies an evacuation. One that is missing after the store was restored counts until the operators have had time
     * to write it again.
     */
    private void applyEvacuation(StoreItem item, long nowMillis) {
        if (item.isRemoved() && nowMillis < evacuationGraceEndMillis) {
            executeLater.accept(evacuationGraceEndMillis - nowMillis, () -> setEvacuated(item));
        } else {
            setEvacuated(item);
        }
    }

    private void setEvacuated(StoreItem item) {
        if (items.get(item.key()) != item) {
            return;
        }
        String zone = item.key().substring(schema.evacuationPrefix().length());
        fleet.zoneEvacuated(zone, !item.isRemoved());
        log.storeEvent(item.isRemoved() ? "evacuation_ended" : "evacuation", zone + ", revision " + item.revision());
        listener.changesApplied();
    }

    /**
     * Applies the registration of an entry. Entries register again after the store was restored; until then, the
     * connections to them stay open.
     */
    private void applyEntry(StoreItem item, long nowMillis) {
        String name = item.key().substring(schema.entryPrefix().length());
        if (!item.isRemoved() || nowMillis >= entryGraceEndMillis) {
            listener.entryChanged(name, Optional.ofNullable(item.value()));
            return;
        }
        executeLater.accept(entryGraceEndMillis - nowMillis, () -> {
            if (items.get(item.key()) == item) {
                listener.entryChanged(name, Optional.empty());
            }
        });
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
        // Older versions are ignored: a request must never be handled with an older document than an earlier request.
        if (document == null || decoded.get().version() > document.version()) {
            document = decoded.get();
            log.storeEvent("document", "version " + document.version() + " from " + source);
            listener.documentChanged(document);
        }
    }

    private void applyServer(String id, StoreItem item, String source, long nowMillis) {
        if (item.isRemoved()) {
            fleet.removed(id, item.revision(), nowMillis);
            log.serverEvent(id, "removed", source, item.revision().revision());
            return;
        }
        Optional<ServerRegistration> decoded = schema.decodeServer(id, item.value());
        if (decoded.isEmpty()) {
            // The value was not written by the server, so it says nothing about its state.
            log.serverEvent(id, "unreadable", source, item.revision().revision());
            return;
        }
        fleet.registered(decoded.get(), item.revision(), nowMillis);
        log.serverEvent(
                id,
                decoded.get().isDraining() ? "draining" : "ready",
                source,
                item.revision().revision());
    }
}
