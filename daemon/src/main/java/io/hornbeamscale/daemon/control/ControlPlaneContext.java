package io.hornbeamscale.daemon.control;

import io.hornbeamscale.core.blackboard.Blackboard;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.membership.VmRecord;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.external.KeyValueStore;
import io.hornbeamscale.external.VmList;
import io.hornbeamscale.wire.FrameLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * What a daemon provides to its control plane.
 *
 * @param self the own node with the address for frames, not null
 * @param incarnation the incarnation of the process
 * @param storeRegion the region of the platform's store, not null
 * @param peerAddresses addresses of other entries to connect to while they are not known members, not null
 * @param frames sends and receives frames, not null
 * @param store the platform's store, null if there is none
 * @param vmList the platform's VM list, null if there is none
 * @param board the blackboard of the process, not null
 * @param control runs events on the control thread, not null
 * @param clock the monotonic clock of the process, in milliseconds, not null
 * @param random the source of randomness for jitter and choices, used on the control thread, not null
 */
public record ControlPlaneContext(
        VmRecord self,
        long incarnation,
        RegionId storeRegion,
        List<InetSocketAddress> peerAddresses,
        FrameLoop frames,
        KeyValueStore store,
        VmList vmList,
        Blackboard board,
        Executor control,
        LongSupplier clock,
        RandomGenerator random) {
    /** Checks the components and copies the list. */
    public ControlPlaneContext {
        Arguments.notNull(self, "self");
        Arguments.notNull(storeRegion, "storeRegion");
        peerAddresses = List.copyOf(Arguments.notNull(peerAddresses, "peers"));
        Arguments.notNull(frames, "frames");
        Arguments.notNull(board, "board");
        Arguments.notNull(control, "control");
        Arguments.notNull(clock, "clock");
        Arguments.notNull(random, "random");
    }
}
