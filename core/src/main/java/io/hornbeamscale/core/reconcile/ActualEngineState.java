package io.hornbeamscale.core.reconcile;

import io.hornbeamscale.core.util.Arguments;
import java.util.Map;

/**
 * The state that an engine reports.
 *
 * @param models the loaded version by model, not null
 * @param adapters the loaded version by adapter, not null
 * @param role the role, not null
 * @param fence the highest fencing number that the engine has seen
 * @param isLoading whether a command is still taking effect
 */
public record ActualEngineState(
        Map<String, String> models, Map<String, String> adapters, String role, long fence, boolean isLoading) {
    /** Checks and copies the parts. */
    public ActualEngineState {
        models = Map.copyOf(Arguments.notNull(models, "models"));
        adapters = Map.copyOf(Arguments.notNull(adapters, "adapters"));
        Arguments.notNull(role, "role");
    }
}
