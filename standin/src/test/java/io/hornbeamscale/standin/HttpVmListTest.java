package io.hornbeamscale.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hornbeamscale.core.membership.VmRecord;
import io.hornbeamscale.external.CallPolicy;
import io.hornbeamscale.external.HttpVmList;
import io.hornbeamscale.external.PlatformIo;
import io.hornbeamscale.external.VmList;
import io.hornbeamscale.external.VmListContract;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpVmListTest extends VmListContract {
    private static final long LAG_MILLIS = 600_000;

    private final VmListStandIn server =
            VmListStandIn.builder().lagMillis(LAG_MILLIS).build();
    private final PlatformIo io = new PlatformIo(new Random(1));
    private final VmList list = new HttpVmList(io, server.start(), new CallPolicy(2_000, 400, 5, 40));

    @AfterEach
    void stop() {
        io.close();
        server.close();
    }

    /** Guards against a watcher that transfers an unchanged list of hundreds of VMs every second. */
    @Test
    void anUnchangedListIsNotTransferredAgain() throws Exception {
        assertEquals(
                list.read().toCompletableFuture().get(),
                list.read().toCompletableFuture().get());
        assertEquals(1, server.unchangedReads());
    }

    @Override
    protected VmList list() {
        return list;
    }

    @Override
    protected void put(VmRecord vm) {
        server.put(vm);
    }

    @Override
    protected void skipLag() {
        server.skipLag();
    }

    @Override
    protected void setDown(boolean isDown) {
        if (isDown) {
            server.faults().arm(new StandInFault.LoseResponse());
        } else {
            server.faults().clear();
        }
    }
}
