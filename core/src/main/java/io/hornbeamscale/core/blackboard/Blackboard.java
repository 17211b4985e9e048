package io.hornbeamscale.core.blackboard;

import io.hornbeamscale.core.util.Arguments;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * State shared by controllers. Only the control thread writes; any thread may read, since values are immutable. Each
 * value has a revision that increases with every write.
 */
public final class Blackboard {
    private final Map<BlackboardKey<?>, Slot> slots = new ConcurrentHashMap<>();

    /**
     * Replaces a value.
     *
     * @param <T> the type of the value
     * @param key the key, not null
     * @param value the value, immutable, not null
     */
    public <T> void put(BlackboardKey<T> key, T value) {
        Arguments.notNull(key, "key");
        Arguments.notNull(value, "value");
        slots.compute(key, (k, old) -> new Slot(value, old == null ? 1 : old.revision() + 1));
    }

    /**
     * Returns a value.
     *
     * @param <T> the type of the value
     * @param key the key, not null
     * @return the value, empty if none was written, never null
     */
    public <T> Optional<T> get(BlackboardKey<T> key) {
        Arguments.notNull(key, "key");
        Slot slot = slots.get(key);
        return slot == null ? Optional.empty() : Optional.of(key.type().cast(slot.value()));
    }

    /**
     * Returns the revision of a value.
     *
     * @param key the key, not null
     * @return the number of writes so far, 0 for none
     */
    public long revision(BlackboardKey<?> key) {
        Slot slot = slots.get(Arguments.notNull(key, "key"));
        return slot == null ? 0 : slot.revision();
    }

    private record Slot(Object value, long revision) {}
}
