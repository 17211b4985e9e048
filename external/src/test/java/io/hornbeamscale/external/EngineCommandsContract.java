package io.hornbeamscale.external;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.hornbeamscale.core.reconcile.ActualEngineState;
import io.hornbeamscale.core.reconcile.EngineCommand;
import io.hornbeamscale.core.reconcile.EngineCommandReply;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against commands that lose content on the way to the engine, take effect with a stale fencing number, or take
 * effect twice.
 */
public abstract class EngineCommandsContract {
    protected abstract EngineCommands engine(boolean checksFencing);

    protected abstract void setDown(boolean isDown);

    @Test
    void everyCommandChangesTheState() throws Exception {
        EngineCommands engine = engine(true);
        run(engine, new EngineCommand.LoadModel(1, "m", "v1"));
        run(engine, new EngineCommand.LoadModel(1, "old", "v1"));
        run(engine, new EngineCommand.LoadAdapter(1, "a", "v1"));
        run(engine, new EngineCommand.LoadAdapter(1, "b", "v1"));
        run(engine, new EngineCommand.UnloadModel(1, "old"));
        run(engine, new EngineCommand.UnloadAdapter(1, "b"));
        run(engine, new EngineCommand.ChangeRole(1, "prefill"));
        ActualEngineState expected = new ActualEngineState(Map.of("m", "v1"), Map.of("a", "v1"), "prefill", 1, false);
        assertEquals(
                Optional.of(expected), engine.readState().toCompletableFuture().get());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aStaleFenceIsRejectedIfTheEngineChecksFencing(boolean checksFencing) throws Exception {
        EngineCommands engine = engine(checksFencing);
        run(engine, new EngineCommand.LoadModel(5, "m", "v2"));
        EngineCommandReply reply = run(engine, new EngineCommand.LoadModel(4, "m", "v1"));
        if (checksFencing) {
            assertEquals(new EngineCommandReply.StaleFence(5), reply);
        } else {
            assertInstanceOf(EngineCommandReply.Accepted.class, reply);
        }
    }

    @Test
    void duringAnOutageThereIsNoAnswer() throws Exception {
        EngineCommands engine = engine(true);
        setDown(true);
        assertEquals(new EngineCommandReply.NoAnswer(), run(engine, new EngineCommand.LoadModel(1, "m", "v1")));
        assertEquals(Optional.empty(), engine.readState().toCompletableFuture().get());
    }

    private static EngineCommandReply run(EngineCommands engine, EngineCommand command) throws Exception {
        return engine.execute(command).toCompletableFuture().get();
    }
}
