package io.hornbeamscale.core.reconcile;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.util.Arguments;
import java.util.Map;

/**
 * What one engine should hold.
 *
 * @param backend the engine, not null
 * @param models model to version, not null
 * @param adapters adapter to version, not null
 * @param role the role, not null; an empty text leaves the role as it is
 * @param capacity the share of the engine in the capacity of its service, such as its memory in tokens, greater than 0
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
