package io.hornbeamscale.external;

import io.hornbeamscale.core.membership.VmRecord;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** The platform's list of VMs, which lags behind the actual state. */
public interface VmList {
    /**
     * Reads the list.
     *
     * @return the VMs, empty if the list did not respond before the call timed out
     */
    CompletionStage<Optional<List<VmRecord>>> read();
}
