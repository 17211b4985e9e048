package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Reads the newest audit events of all nodes, newest first. Older segments of the trails are not read. The result is
 * empty if the store does not reply or a trail cannot be decoded.
 */
public final class AuditEventReader implements StoreOperation<Optional<List<AuditEvent>>> {
    private final List<String> keys = new ArrayList<>(EventTrailController.keys());
    private final List<AuditEvent> events = new ArrayList<>();

    @Override
    public StoreStep<Optional<List<AuditEvent>>> start(long nowMillis) {
        return next();
    }

    private StoreStep<Optional<List<AuditEvent>>> next() {
        if (!keys.isEmpty()) {
            return new StoreStep.Call<>(new StoreCall.Get(keys.remove(0)), 0);
        }
        Comparator<AuditEvent> newestFirst =
                Comparator.comparingLong(AuditEvent::wallMillis).reversed();
        return new StoreStep.Done<>(
                Optional.of(events.stream().sorted(newestFirst).toList()));
    }

    @Override
    public StoreStep<Optional<List<AuditEvent>>> onReply(StoreReply reply, long nowMillis) {
        Arguments.notNull(reply, "reply");
        if (reply instanceof StoreReply.NoAnswer) {
            return new StoreStep.Done<>(Optional.empty());
        }
        if (reply instanceof StoreReply.Found found) {
            try {
                EventTrailController.decode(found.value()).entries().forEach(batch -> events.addAll(batch.events()));
            } catch (ServingException e) {
                return new StoreStep.Done<>(Optional.empty());
            }
        }
        return next();
    }
}
