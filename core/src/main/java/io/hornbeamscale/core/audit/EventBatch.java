package io.hornbeamscale.core.audit;

import java.util.List;

/**
 * Events that one node wrote together.
 *
 * @param number the number within the trail, from 1
 * @param writer the id of the write, unique
 * @param events the events in their order
 */
public record EventBatch(long number, String writer, List<AuditEvent> events) implements TrailEntry {
    /** Copies the list. */
    public EventBatch {
        events = List.copyOf(events);
    }
}
