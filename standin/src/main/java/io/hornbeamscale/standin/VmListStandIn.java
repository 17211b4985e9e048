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

/** The platform's list of VMs. {@code GET /vms} answers with the list as it was some time ago. */
public final class VmListStandIn implements AutoCloseable {
    private final LoopbackServer server;
    private final FaultInjector faults = new FaultInjector();
    private final FaultFlow flow = new FaultFlow(faults);
    private final long lagMillis;
    private long unchanged;
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
     * Returns how many reads were answered with 304, since the list was unchanged.
     *
     * @return the number since the start
     */
    public synchronized long unchangedReads() {
        return unchanged;
    }

    /** Shows all changes so far, as if the lag had passed. */
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
        flow.run(exchange, body -> answer(FaultFlow.header(exchange, "If-None-Match")));
    }

    private synchronized Answer answer(String knownTag) {
        long visible = now() - lagMillis;
        while (history.size() > 1 && secondMillis() <= visible) {
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
        String body = Json.text(Map.of("vms", nodes));
        String tag = "\"" + Integer.toHexString(body.hashCode()) + "\"";
        if (tag.equals(knownTag)) {
            unchanged++;
            return new Answer(304, Map.of("ETag", tag), "");
        }
        return new Answer(200, Map.of("Content-Type", "application/json", "ETag", tag), body);
    }

    private long secondMillis() {
        var items = history.iterator();
        items.next();
        return items.next().atMillis();
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
         * Sets how old the list is that readers see.
         *
         * @param value the age, in milliseconds
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
