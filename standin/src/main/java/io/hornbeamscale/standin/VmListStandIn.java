package io.hornbeamscale.standin;

import io.hornbeamscale.core.membership.VmRecord;
import io.hornbeamscale.core.util.Arguments;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** A stand-in for the platform's VM list. {@code GET /vms} returns the list as it was one lag ago. */
public final class VmListStandIn implements AutoCloseable {
    private final LoopbackServer server;
    private final FaultInjector faults = new FaultInjector();
    private final FaultInjectingHandler handler = new FaultInjectingHandler(faults);
    private final long lagMillis;
    private long unchangedReads;
    private final Map<String, VmRecord> vms = new TreeMap<>();
    private final Deque<Snapshot> history = new ArrayDeque<>();

    private VmListStandIn(int port, long lagMillis) {
        this.lagMillis = lagMillis;
        this.server = new LoopbackServer(port, this::handle);
        history.add(new Snapshot(now(), List.of()));
    }

    /**
     * Creates a builder.
     *
     * @return a builder with port 0 and no lag
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Starts the list.
     *
     * @return the address, with the port in use
     */
    public InetSocketAddress start() {
        return server.start();
    }

    /**
     * Returns the fault injector.
     *
     * @return the fault injector, never null
     */
    public FaultInjector faults() {
        return faults;
    }

    /**
     * Adds or replaces a VM.
     *
     * @param vm the VM, not null
     */
    public synchronized void put(VmRecord vm) {
        vms.put(Arguments.notNull(vm, "vm").node().value(), vm);
        history.add(new Snapshot(now(), List.copyOf(vms.values())));
    }

    /**
     * Removes a VM.
     *
     * @param node the node on the VM; an unknown one is ignored
     */
    public synchronized void remove(String node) {
        vms.remove(node);
        history.add(new Snapshot(now(), List.copyOf(vms.values())));
    }

    /**
     * Returns the number of reads that were answered with 304 because the list was unchanged.
     *
     * @return the number since the start
     */
    public synchronized long unchangedReads() {
        return unchangedReads;
    }

    /** Makes all changes so far visible to readers, as if the lag had passed. */
    public synchronized void skipLag() {
        while (history.size() > 1) {
            history.removeFirst();
        }
    }

    @Override
    public void close() {
        server.close();
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void handle(HttpServerExchange exchange) {
        handler.run(exchange, body -> respond(FaultInjectingHandler.requestHeader(exchange, "If-None-Match")));
    }

    private synchronized StandInResponse respond(String knownEntityTag) {
        long visibleMillis = now() - lagMillis;
        while (history.size() > 1 && secondSnapshotMillis() <= visibleMillis) {
            history.removeFirst();
        }
        List<Map<String, String>> nodes = new ArrayList<>();
        for (VmRecord vm : history.getFirst().vms()) {
            Map<String, String> node = new LinkedHashMap<>();
            node.put("node", vm.node().value());
            node.put("role", vm.role());
            node.put("address", vm.address());
            node.put("region", vm.region().value());
            node.put("zone", vm.zone().value());
            node.put("state", vm.isLeaving() ? "leaving" : "live");
            nodes.add(node);
        }
        String body = StandInJson.text(Map.of("vms", nodes));
        String entityTag = "\"" + Integer.toHexString(body.hashCode()) + "\"";
        if (entityTag.equals(knownEntityTag)) {
            unchangedReads++;
            return new StandInResponse(304, Map.of("ETag", entityTag), "");
        }
        return new StandInResponse(200, Map.of("Content-Type", "application/json", "ETag", entityTag), body);
    }

    private long secondSnapshotMillis() {
        var snapshots = history.iterator();
        snapshots.next();
        return snapshots.next().atMillis();
    }

    private record Snapshot(long atMillis, List<VmRecord> vms) {}

    /** Builds a list of VMs. */
    public static final class Builder {
        private int port;
        private long lagMillis;

        private Builder() {}

        /**
         * Sets the port.
         *
         * @param value the port, 0 for a free one
         * @return this builder
         */
        public Builder port(int value) {
            port = value;
            return this;
        }

        /**
         * Sets the lag after which readers see a change.
         *
         * @param value the lag, in milliseconds; 0 by default
         * @return this builder
         */
        public Builder lagMillis(long value) {
            lagMillis = value;
            return this;
        }

        /**
         * Creates the list.
         *
         * @return a list that is not started
         */
        public VmListStandIn build() {
            return new VmListStandIn(port, lagMillis);
        }
    }
}
