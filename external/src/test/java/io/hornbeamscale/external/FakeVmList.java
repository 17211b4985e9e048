package io.hornbeamscale.external;

import io.hornbeamscale.core.membership.VmRecord;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** An in-memory VM list; readers see changes after {@link #publish}. */
public final class FakeVmList implements VmList {
    private final Map<String, VmRecord> vms = new TreeMap<>();
    private List<VmRecord> visible = List.of();
    private boolean isDown;

    /** Creates an empty list. */
    public FakeVmList() {}

    /**
     * Adds or replaces a VM.
     *
     * @param vm the VM, not null
     */
    public synchronized void put(VmRecord vm) {
        vms.put(vm.node().value(), vm);
    }

    /** Makes all changes visible to readers, as if the lag had passed. */
    public synchronized void publish() {
        visible = List.copyOf(vms.values());
    }

    /**
     * Starts or ends an outage.
     *
     * @param isDown whether reads get no reply
     */
    public synchronized void setDown(boolean isDown) {
        this.isDown = isDown;
    }

    @Override
    public synchronized CompletionStage<Optional<List<VmRecord>>> read() {
        return CompletableFuture.completedFuture(isDown ? Optional.empty() : Optional.of(visible));
    }
}
