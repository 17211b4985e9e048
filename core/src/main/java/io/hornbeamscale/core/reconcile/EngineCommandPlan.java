package io.hornbeamscale.core.reconcile;

import io.hornbeamscale.core.util.Arguments;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Compares desired and actual state of one engine. The plan has no memory, so any node can continue it. */
public final class EngineCommandPlan {
    private EngineCommandPlan() {}

    /**
     * Returns the next command. Models come before adapters, since an adapter needs its model; what is not needed is
     * unloaded before the role changes.
     *
     * @param goal the desired state, not null
     * @param actual the actual state, not null
     * @param fence the fencing number for the command
     * @return the command, empty if the engine holds what it should
     */
    public static Optional<EngineCommand> next(DesiredEngineState goal, ActualEngineState actual, long fence) {
        Arguments.notNull(goal, "goal");
        Arguments.notNull(actual, "actual");
        Optional<Map.Entry<String, String>> model = firstMissing(goal.models(), actual.models());
        if (model.isPresent()) {
            return model.map(m -> new EngineCommand.LoadModel(fence, m.getKey(), m.getValue()));
        }
        Optional<Map.Entry<String, String>> adapter = firstMissing(goal.adapters(), actual.adapters());
        if (adapter.isPresent()) {
            return adapter.map(a -> new EngineCommand.LoadAdapter(fence, a.getKey(), a.getValue()));
        }
        Optional<String> extraAdapter = firstExtra(goal.adapters(), actual.adapters());
        if (extraAdapter.isPresent()) {
            return extraAdapter.map(a -> new EngineCommand.UnloadAdapter(fence, a));
        }
        Optional<String> extraModel = firstExtra(goal.models(), actual.models());
        if (extraModel.isPresent()) {
            return extraModel.map(m -> new EngineCommand.UnloadModel(fence, m));
        }
        boolean isOtherRole = !goal.role().isEmpty() && !goal.role().equals(actual.role());
        return isOtherRole ? Optional.of(new EngineCommand.ChangeRole(fence, goal.role())) : Optional.empty();
    }

    /**
     * Returns whether a command draws on the weight store.
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
