package io.hornbeamscale.core.audit;

import java.util.List;

/**
 * A batch of events that one node wrote with a single call.
 *
 * @param number the number of the batch within the trail, from 1
 * @param writer the id of the write, unique
 * @param events the events in the order in which they occurred
 */
public record EventBatch(long number, String writer, List<AuditEvent> events) implements TrailEntry {
    /** Copies the list. */
    public EventBatch {
        events = List.copyOf(events);
    }
}
