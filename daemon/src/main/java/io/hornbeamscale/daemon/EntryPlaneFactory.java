package io.hornbeamscale.daemon;

import io.hornbeamscale.core.blackboard.Blackboard;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.ZoneId;
import io.hornbeamscale.core.membership.VmRecord;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.daemon.control.ControlPlaneContext;
import io.hornbeamscale.daemon.control.EntryControlPlane;
import io.hornbeamscale.external.CallPolicy;
import io.hornbeamscale.external.HttpVmList;
import io.hornbeamscale.external.KeyValueStore;
import io.hornbeamscale.external.PlatformIo;
import io.hornbeamscale.external.VmList;
import io.hornbeamscale.gateway.ControlLoop;
import io.hornbeamscale.wire.FrameLoop;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;

/** Creates the control plane of an entry from its settings. */
final class EntryPlaneFactory {
    private EntryPlaneFactory() {}

    static EntryControlPlane create(
            EntrySettings settings,
            InetSocketAddress framesAddress,
            long incarnation,
            FrameLoop frames,
            PlatformIo platform,
            KeyValueStore store,
            ControlLoop control,
            EntryControlPlane.ActionHandler host) {
        VmRecord self = new VmRecord(
                new NodeId(settings.node()),
                "entry",
                Addresses.format(framesAddress),
                new RegionId(settings.region()),
                new ZoneId(settings.zone()),
                false);
        VmList vmList = settings.vmList() == null
                ? null
                : new HttpVmList(platform, Addresses.of(settings.vmList()), CallPolicy.DEFAULT);
        ControlPlaneContext context = new ControlPlaneContext(
                self,
                incarnation,
                new RegionId(settings.storeRegion()),
                settings.peers(),
                frames,
                store,
                vmList,
                new Blackboard(),
                control::execute,
                ControlLoop::now,
                new SplittableRandom(incarnation));
        return new EntryControlPlane(context, Addresses::parse, host);
    }

    /** Returns a copy of a status that is marked as draining, so that the dispatcher sends no new work. */
    static BackendStatus asDraining(BackendStatus s) {
        return new BackendStatus(
                s.backend(),
                s.incarnation(),
                s.capacityTokens(),
                s.usedTokens(),
                s.running(),
                s.waiting(),
                s.expectedWaitMillis(),
                s.tokenGapMillis(),
                true,
                s.cachedPrefixes());
    }
}
