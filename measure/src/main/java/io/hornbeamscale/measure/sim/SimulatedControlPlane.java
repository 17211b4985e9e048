package io.hornbeamscale.measure.sim;

import io.hornbeamscale.core.dispatch.BackendDescriptor;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.id.ZoneId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The entries and agents of a simulation that use the controllers of the core. */
final class SimulatedControlPlane {
    private final Scenario scenario;
    private final SimulatedCluster cluster;
    private final FigureRecorder recorder;
    private final Policy policy;
    private final Set<String> disabledMechanisms;
    private final OracleLengthModel trueLengths;
    private final List<ControlledAgent> agents = new ArrayList<>();
    private final List<ControlledEntry> entries = new ArrayList<>();
    private final List<BackendDescriptor> descriptors = new ArrayList<>();

    SimulatedControlPlane(
            Scenario scenario,
            SimulatedCluster cluster,
            FigureRecorder recorder,
            Policy policy,
            Set<String> disabledMechanisms,
            OracleLengthModel trueLengths) {
        this.scenario = scenario;
        this.cluster = cluster;
        this.recorder = recorder;
        this.policy = policy;
        this.disabledMechanisms = Set.copyOf(disabledMechanisms);
        this.trueLengths = trueLengths;
        for (int i = 0; i < cluster.size(); i++) {
            NodeLocation location = cluster.location(i);
            descriptors.add(new BackendDescriptor(
                    backendId(i),
                    new ServiceId("model"),
                    "m",
                    new ZoneId(location.zone()),
                    new RegionId(location.region())));
        }
    }

    static BackendId backendId(int backendIndex) {
        return new BackendId("b" + backendIndex);
    }

    static int backendIndex(BackendId backend) {
        return Integer.parseInt(backend.value().substring(1));
    }

    ControlledAgent agent(int index, long seed) {
        ControlledAgent a = new ControlledAgent(index, this, seed);
        agents.add(a);
        return a;
    }

    ControlledEntry entry(int index, long seed) {
        ControlledEntry e = new ControlledEntry(index, scenario.entries().get(index), this, seed);
        entries.add(e);
        return e;
    }

    ControlledAgent agent(int index) {
        return agents.get(index);
    }

    ControlledEntry entry(int index) {
        return entries.get(index);
    }

    List<ControlledEntry> entries() {
        return entries;
    }

    List<BackendDescriptor> descriptors() {
        return descriptors;
    }

    Scenario scenario() {
        return scenario;
    }

    SimulatedCluster cluster() {
        return cluster;
    }

    FigureRecorder recorder() {
        return recorder;
    }

    Policy policy() {
        return policy;
    }

    /**
     * Returns weights in proportion to the customers' shares of requests, or none in flood scenarios, where the
     * flooding customer has the same weight as the others.
     */
    Map<CustomerId, Double> customerWeights() {
        Map<CustomerId, Double> weights = new LinkedHashMap<>();
        for (int i = 0; i < scenario.customerShares().size() && scenario.floodLoad() == 0; i++) {
            weights.put(new CustomerId("c" + i), scenario.customerShares().get(i) * 10);
        }
        return weights;
    }

    OracleLengthModel trueLengths() {
        return trueLengths;
    }

    boolean isEnabled(String mechanism) {
        return !disabledMechanisms.contains(mechanism);
    }

    Map<String, Double> figures() {
        Map<String, Double> f = new LinkedHashMap<>();
        f.put("max_queued", entries.stream().mapToDouble(e -> e.maxQueued).max().orElse(0));
        return f;
    }
}
