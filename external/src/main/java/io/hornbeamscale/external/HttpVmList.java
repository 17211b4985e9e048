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

/**
 * The VM list over HTTP. A list with a malformed line is treated as no answer, since a partial list loses nodes. If the
 * platform sends entity tags, an unchanged list is not transferred again.
 */
public final class HttpVmList implements VmList {
    private static final int STATUS_NOT_MODIFIED = 304;

    private final HttpCaller caller;
    private volatile Known known = new Known("", List.of());

    /**
     * Creates a client.
     *
     * @param io the shared I/O thread, not null
     * @param address the address of the list, not null
     * @param policy the time limits, not null
     */
    public HttpVmList(PlatformIo io, InetSocketAddress address, CallPolicy policy) {
        caller = new HttpCaller(
                Arguments.notNull(io, "io"),
                Arguments.notNull(address, "address"),
                Arguments.notNull(policy, "policy"));
    }

    @Override
    public CompletionStage<Optional<List<VmRecord>>> read() {
        Known base = known;
        return caller.call(new HttpCall("GET", "/vms", "", true, true, base.etag(), 0))
                .thenApply(outcome -> merge(base, outcome));
    }

    private Optional<List<VmRecord>> merge(Known base, HttpOutcome outcome) {
        if (!(outcome instanceof HttpOutcome.Answered answered)) {
            return Optional.empty();
        }
        if (answered.status() == STATUS_NOT_MODIFIED && !base.etag().isEmpty()) {
            return Optional.of(base.records());
        }
        Optional<List<VmRecord>> records = records(Json.bodyOf(outcome).path("vms"));
        records.ifPresent(list -> known = new Known(answered.etag(), list));
        return records;
    }

    private static Optional<List<VmRecord>> records(JsonNode nodes) {
        if (!nodes.isArray()) {
            return Optional.empty();
        }
        List<VmRecord> records = new ArrayList<>();
        try {
            for (JsonNode node : nodes) {
                records.add(record(node));
            }
        } catch (IllegalArgumentException e) {
            return Optional.empty();
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

    private record Known(String etag, List<VmRecord> records) {}
}
