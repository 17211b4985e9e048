package io.hornbeamscale.external;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.ZoneId;
import io.hornbeamscale.core.membership.VmRecord;
import io.hornbeamscale.core.util.Arguments;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * An HTTP client of the VM list. A malformed entry does not affect the others; if it names a node, the last record of
 * that node remains valid, since a node that the list lacks counts as gone. If the platform sends entity tags, an
 * unchanged list is not transferred again.
 */
public final class HttpVmList implements VmList {
    private static final Logger LOG = LogManager.getLogger("membership");
    private static final int STATUS_NOT_MODIFIED = 304;

    private final RetryingHttpClient client;
    private volatile CachedList cached = new CachedList("", List.of());

    /**
     * Creates a client.
     *
     * @param io the shared I/O thread, not null
     * @param address the address of the list, not null
     * @param policy the timeouts and retry pauses, not null
     */
    public HttpVmList(PlatformIo io, InetSocketAddress address, CallPolicy policy) {
        client = new RetryingHttpClient(
                Arguments.notNull(io, "io"),
                Arguments.notNull(address, "address"),
                Arguments.notNull(policy, "policy"));
    }

    @Override
    public CompletionStage<Optional<List<VmRecord>>> read() {
        CachedList previous = cached;
        return client.call(new HttpRequestSpec("GET", "/vms", "", true, true, previous.etag(), 0))
                .thenApply(outcome -> updateCache(previous, outcome));
    }

    private Optional<List<VmRecord>> updateCache(CachedList previous, HttpOutcome outcome) {
        if (!(outcome instanceof HttpOutcome.Answered answered)) {
            return Optional.empty();
        }
        if (answered.status() == STATUS_NOT_MODIFIED && !previous.etag().isEmpty()) {
            return Optional.of(previous.records());
        }
        Optional<List<VmRecord>> records = records(JsonBodies.bodyOf(outcome).path("vms"), previous.records());
        records.ifPresent(list -> cached = new CachedList(answered.etag(), list));
        return records;
    }

    private static Optional<List<VmRecord>> records(JsonNode nodes, List<VmRecord> previous) {
        if (!nodes.isArray()) {
            return Optional.empty();
        }
        List<VmRecord> records = new ArrayList<>();
        for (JsonNode node : nodes) {
            try {
                records.add(record(node));
            } catch (IllegalArgumentException e) {
                LOG.warn("The VM list has a malformed entry: {}", e.getMessage());
                String name = node.path("node").asText();
                previous.stream().filter(r -> r.node().value().equals(name)).forEach(records::add);
            }
        }
        return Optional.of(List.copyOf(records));
    }

    private static VmRecord record(JsonNode node) {
        return new VmRecord(
                new NodeId(node.path("node").asText()),
                node.path("role").asText(),
                node.path("address").asText(),
                new RegionId(node.path("region").asText()),
                new ZoneId(node.path("zone").asText()),
                node.path("state").asText().equals("leaving"));
    }

    /**
     * The list that was read last.
     *
     * @param etag the entity tag, empty for none
     * @param records the VMs
     */
    private record CachedList(String etag, List<VmRecord> records) {}
}
