package io.hornbeamscale.core.reconcile;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.util.Arguments;
import java.util.Map;

/**
 * The state that one engine should have.
 *
 * @param backend the engine, not null
 * @param models the desired version by model, not null
 * @param adapters the desired version by adapter, not null
 * @param role the role, not null; if empty, the role is not changed
 * @param capacity the engine's part of the capacity of its service, such as its memory in tokens, greater than 0
 */
public record DesiredEngineState(
        BackendId backend, Map<String, String> models, Map<String, String> adapters, String role, long capacity) {
    /** Checks and copies the parts. */
    public DesiredEngineState {
        Arguments.notNull(backend, "backend");
        models = Map.copyOf(Arguments.notNull(models, "models"));
        adapters = Map.copyOf(Arguments.notNull(adapters, "adapters"));
        Arguments.notNull(role, "role");
        Arguments.positive(capacity, "capacity");
    }
}
