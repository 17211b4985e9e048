package io.hornbeamscale.core.reconcile;

import io.hornbeamscale.core.util.Arguments;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Derives commands from the difference between desired and actual engine state. Stateless, so any node can continue.
 */
public final class EngineCommandPlan {
    private EngineCommandPlan() {}

    /**
     * Returns the next command. Models are loaded before adapters, because an adapter needs its model; models and
     * adapters that are not desired are unloaded before the role changes.
     *
     * @param desired the desired state, not null
     * @param actual the actual state, not null
     * @param fence the fencing number for the command
     * @return the command, empty if the engine has the desired state
     */
    public static Optional<EngineCommand> next(DesiredEngineState desired, ActualEngineState actual, long fence) {
        Arguments.notNull(desired, "desired");
        Arguments.notNull(actual, "actual");
        Optional<Map.Entry<String, String>> model = firstMissing(desired.models(), actual.models());
        if (model.isPresent()) {
            return model.map(m -> new EngineCommand.LoadModel(fence, m.getKey(), m.getValue()));
        }
        Optional<Map.Entry<String, String>> adapter = firstMissing(desired.adapters(), actual.adapters());
        if (adapter.isPresent()) {
            return adapter.map(a -> new EngineCommand.LoadAdapter(fence, a.getKey(), a.getValue()));
        }
        Optional<String> extraAdapter = firstExtra(desired.adapters(), actual.adapters());
        if (extraAdapter.isPresent()) {
            return extraAdapter.map(a -> new EngineCommand.UnloadAdapter(fence, a));
        }
        Optional<String> extraModel = firstExtra(desired.models(), actual.models());
        if (extraModel.isPresent()) {
            return extraModel.map(m -> new EngineCommand.UnloadModel(fence, m));
        }
        boolean isOtherRole = !desired.role().isEmpty() && !desired.role().equals(actual.role());
        return isOtherRole ? Optional.of(new EngineCommand.ChangeRole(fence, desired.role())) : Optional.empty();
    }

    /**
     * Returns whether a command reads from the weight store.
     *
     * @param command the command, not null
     * @return whether it loads weights
     */
    public static boolean isLoad(EngineCommand command) {
        return command instanceof EngineCommand.LoadModel || command instanceof EngineCommand.LoadAdapter;
    }

    private static Optional<Map.Entry<String, String>> firstMissing(
            Map<String, String> desired, Map<String, String> actual) {
        return new TreeMap<>(desired)
                .entrySet().stream()
                        .filter(e -> !e.getValue().equals(actual.get(e.getKey())))
                        .findFirst();
    }

    private static Optional<String> firstExtra(Map<String, String> desired, Map<String, String> actual) {
        return actual.keySet().stream()
                .filter(name -> !desired.containsKey(name))
                .sorted()
                .findFirst();
    }
}
