package io.hornbeamscale.core.claim;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Operations that no caller waits for: results to record and unused claims to remove. Limited in number, so that it
 * does not grow without bound while the store is down.
 */
final class ClaimBacklog {
    private final int maxItems;
    private final Map<Long, Item> items = new LinkedHashMap<>();
    private long lostResults;

    ClaimBacklog(int maxItems) {
        this.maxItems = maxItems;
    }

    /** Adds an operation and returns the one that was dropped for it, or null. Releases are dropped before results. */
    Item add(long opId, ClaimOp op, boolean isForwarded, long nowMillis) {
        items.put(opId, new Item(opId, op, isForwarded, nowMillis));
        if (items.size() <= maxItems) {
            return null;
        }
        Item dropped = oldest(ClaimOp.Kind.RELEASE);
        if (dropped == null) {
            dropped = oldest(ClaimOp.Kind.FINISH);
            lostResults++;
        }
        items.remove(dropped.opId());
        return dropped;
    }

    void remove(long opId) {
        items.remove(opId);
    }

    /** Returns the forwarded operations that were not answered in time; they are written locally from now on. */
    List<Item> takeUnanswered(long waitMillis, long nowMillis) {
        List<Item> late = new ArrayList<>();
        Iterator<Map.Entry<Long, Item>> all = items.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Long, Item> entry = all.next();
            Item item = entry.getValue();
            if (item.isForwarded() && nowMillis - item.sentMillis() >= waitMillis) {
                entry.setValue(new Item(item.opId(), item.op(), false, nowMillis));
                late.add(item);
            }
        }
        return late;
    }

    int size() {
        return items.size();
    }

    long lostResults() {
        return lostResults;
    }

    private Item oldest(ClaimOp.Kind kind) {
        for (Item item : items.values()) {
            if (item.op().kind() == kind) {
                return item;
            }
        }
        return null;
    }

    record Item(long opId, ClaimOp op, boolean isForwarded, long sentMillis) {}
}
