package io.hornbeamscale.external;

import io.hornbeamscale.core.reconcile.ActualEngineState;
import io.hornbeamscale.core.reconcile.EngineCommand;
import io.hornbeamscale.core.reconcile.EngineCommandReply;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** An in-memory engine that executes commands at once. */
public final class FakeEngineCommands implements EngineCommands {
    private final boolean checksFencing;
    private final Map<String, String> models = new TreeMap<>();
    private final Map<String, String> adapters = new TreeMap<>();
    private String role = "serve";
    private long fence;
    private boolean isDown;
    private int stateChanges;

    /**
     * Creates an engine without models.
     *
     * @param checksFencing whether commands with an old fencing number are rejected
     */
    public FakeEngineCommands(boolean checksFencing) {
        this.checksFencing = checksFencing;
    }

    /**
     * Starts or ends an outage.
     *
     * @param isDown whether calls get no reply
     */
    public void setDown(boolean isDown) {
        this.isDown = isDown;
    }

    /**
     * Returns the number of commands that changed the state.
     *
     * @return the number since the start
     */
    public int stateChanges() {
        return stateChanges;
    }

    @Override
    public CompletionStage<EngineCommandReply> execute(EngineCommand command) {
        if (isDown) {
            return CompletableFuture.completedFuture(new EngineCommandReply.NoAnswer());
        }
        if (checksFencing && command.fence() < fence) {
            return CompletableFuture.completedFuture(new EngineCommandReply.StaleFence(fence));
        }
        fence = Math.max(fence, command.fence());
        ActualEngineState before = state();
        apply(command);
        stateChanges += before.equals(state()) ? 0 : 1;
        return CompletableFuture.completedFuture(new EngineCommandReply.Accepted(state()));
    }

    @Override
    public CompletionStage<Optional<ActualEngineState>> readState() {
        return CompletableFuture.completedFuture(isDown ? Optional.empty() : Optional.of(state()));
    }

    private ActualEngineState state() {
        return new ActualEngineState(models, adapters, role, fence, false);
    }

    private void apply(EngineCommand command) {
        if (command instanceof EngineCommand.LoadModel load) {
            models.put(load.model(), load.version());
        } else if (command instanceof EngineCommand.LoadAdapter load) {
            adapters.put(load.adapter(), load.version());
        } else if (command instanceof EngineCommand.UnloadModel unload) {
            models.remove(unload.model());
        } else if (command instanceof EngineCommand.UnloadAdapter unload) {
            adapters.remove(unload.adapter());
        } else if (command instanceof EngineCommand.ChangeRole change) {
            role = change.role();
        }
    }
}
