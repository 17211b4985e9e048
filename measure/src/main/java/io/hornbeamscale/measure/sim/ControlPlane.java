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

/** The entries and agents of a run with the controllers of the core. */
final class ControlPlane {
    private final Scenario scenario;
    private final Cluster cluster;
    private final Recorder recorder;
    private final Policy policy;
    private final Set<String> without;
    private final TrueLengths truth;
    private final List<AgentNode> agents = new ArrayList<>();
    private final List<ControlledEntry> entries = new ArrayList<>();
    private final List<BackendDescriptor> descriptors = new ArrayList<>();

    ControlPlane(
            Scenario scenario,
            Cluster cluster,
            Recorder recorder,
            Policy policy,
            Set<String> without,
            TrueLengths truth) {
        this.scenario = scenario;
        this.cluster = cluster;
        this.recorder = recorder;
        this.policy = policy;
        this.without = Set.copyOf(without);
        this.truth = truth;
        for (int i = 0; i < cluster.size(); i++) {
            Site s = cluster.site(i);
            descriptors.add(new BackendDescriptor(
                    backend(i), new ServiceId("model"), "m", new ZoneId(s.zone()), new RegionId(s.region())));
        }
    }

    static BackendId backend(int runner) {
        return new BackendId("b" + runner);
    }

    static int runner(BackendId backend) {
        return Integer.parseInt(backend.value().substring(1));
    }

    AgentNode agent(int index, long seed) {
        AgentNode a = new AgentNode(index, this, seed);
        agents.add(a);
        return a;
    }

    ControlledEntry entry(int index, long seed) {
        ControlledEntry e = new ControlledEntry(index, scenario.entries().get(index), this, seed);
        entries.add(e);
        return e;
    }

    AgentNode agent(int index) {
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

    Cluster cluster() {
        return cluster;
    }

    Recorder recorder() {
        return recorder;
    }

    Policy policy() {
        return policy;
    }

    /** Customers pay for their usual share; the one that floods has the same weight as the others. */
    Map<CustomerId, Double> weights() {
        Map<CustomerId, Double> weights = new LinkedHashMap<>();
        for (int i = 0; i < scenario.customerShares().size() && scenario.flood() == 0; i++) {
            weights.put(new CustomerId("c" + i), scenario.customerShares().get(i) * 10);
        }
        return weights;
    }

    TrueLengths truth() {
        return truth;
    }

    boolean has(String mechanism) {
        return !without.contains(mechanism);
    }

    Map<String, Double> figures() {
        Map<String, Double> f = new LinkedHashMap<>();
        f.put("max_queued", entries.stream().mapToDouble(e -> e.maxQueued).max().orElse(0));
        return f;
    }
}
