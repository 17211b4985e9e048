package io.hornbeamscale.external;

import io.hornbeamscale.core.membership.VmRecord;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** A VM list in memory; readers see changes after {@link #publish}. */
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

    /** Shows all changes to readers, as the end of the lag does. */
    public synchronized void publish() {
        visible = List.copyOf(vms.values());
    }

    /**
     * Starts or ends an outage.
     *
     * @param value whether reads get no answer
     */
    public synchronized void down(boolean value) {
        isDown = value;
    }

    @Override
    public synchronized CompletionStage<Optional<List<VmRecord>>> read() {
        return CompletableFuture.completedFuture(isDown ? Optional.empty() : Optional.of(visible));
    }
}
