package io.hornbeamscale.external;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.ZoneId;
import io.hornbeamscale.core.membership.VmRecord;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against a VM list client that treats an outage as an empty list or loses the leaving state. */
public abstract class VmListContract {
    protected abstract VmList list();

    protected abstract void put(VmRecord vm);

    protected abstract void skipLag();

    protected abstract void setDown(boolean isDown);

    @Test
    void showsVmsAfterTheLag() throws Exception {
        put(vm("a", false));
        assertEquals(Optional.of(List.of()), read());
        skipLag();
        assertEquals(Optional.of(List.of(vm("a", false))), read());
        put(vm("a", true));
        skipLag();
        assertEquals(Optional.of(List.of(vm("a", true))), read());
    }

    @Test
    void anOutageIsNotAnEmptyList() throws Exception {
        setDown(true);
        assertEquals(Optional.empty(), read());
        setDown(false);
        assertEquals(Optional.of(List.of()), read());
    }

    private Optional<List<VmRecord>> read() throws Exception {
        return list().read().toCompletableFuture().get();
    }

    private static VmRecord vm(String name, boolean isLeaving) {
        return new VmRecord(
                new NodeId(name), "agent", "127.0.0.1:1", new RegionId("amman"), new ZoneId("amman-a"), isLeaving);
    }
}
