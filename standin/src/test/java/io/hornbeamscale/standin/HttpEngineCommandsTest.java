package io.hornbeamscale.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hornbeamscale.core.reconcile.EngineCommand;
import io.hornbeamscale.external.CallPolicy;
import io.hornbeamscale.external.EngineCommands;
import io.hornbeamscale.external.EngineCommandsContract;
import io.hornbeamscale.external.HttpEngineCommands;
import io.hornbeamscale.external.PlatformIo;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpEngineCommandsTest extends EngineCommandsContract {
    private final PlatformIo io = new PlatformIo(new Random(1));
    private EngineStandIn server;

    @AfterEach
    void stop() {
        io.close();
        server.close();
    }

    /** Guards against a repeated command that takes effect twice when the first response is lost. */
    @Test
    void aLostResponseDoesNotRepeatTheEffect() throws Exception {
        EngineCommands engine = engine(true);
        server.faults().arm(new StandInFault.LoseResponse(), 1);
        engine.execute(new EngineCommand.LoadModel(1, "m", "v1"))
                .toCompletableFuture()
                .get();
        assertEquals(1, server.executedCommands());
    }

    @Override
    protected EngineCommands engine(boolean checksFencing) {
        server = EngineStandIn.builder().checksFencing(checksFencing).build();
        return new HttpEngineCommands(io, server.start(), new CallPolicy(2_000, 400, 5, 40));
    }

    @Override
    protected void setDown(boolean isDown) {
        server.crash();
    }
}
