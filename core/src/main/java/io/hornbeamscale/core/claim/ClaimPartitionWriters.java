package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.zip.CRC32;

/** The partition writers of one entry, and the choice of the entry that should write a partition. */
final class ClaimWriter {
    private final ClaimSettings settings;
    private final RandomGenerator random;
    private final Map<Integer, PartitionWriter> writers = new TreeMap<>();
    private List<NodeId> members = List.of();

    ClaimWriter(ClaimSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    void members(List<NodeId> live) {
        members = List.copyOf(live);
    }

    /** Returns the member with the greatest hash for the key's partition, or the given node if there is no member. */
    NodeId writerOf(ClaimKey key, NodeId self) {
        int partition = key.partition(settings.partitions());
        NodeId best = self;
        long bestScore = -1;
        for (NodeId member : members) {
            CRC32 crc = new CRC32();
            crc.update((member.value() + "/" + partition).getBytes(StandardCharsets.UTF_8));
            if (crc.getValue() > bestScore) {
                bestScore = crc.getValue();
                best = member;
            }
        }
        return best;
    }

    void submit(long opId, ClaimOp op, ClaimEffects effects, long nowMillis) {
        int partition = op.key().partition(settings.partitions());
        writers.computeIfAbsent(partition, p -> new PartitionWriter(p, settings, random))
                .submit(opId, op, effects, nowMillis);
    }

    boolean cancel(ClaimKey key, long opId) {
        PartitionWriter writer = writers.get(key.partition(settings.partitions()));
        return writer != null && writer.cancel(opId);
    }

    void storeReplied(StoreCall call, StoreReply reply, ClaimEffects effects, long nowMillis) {
        for (PartitionWriter writer : writers.values()) {
            writer.storeReplied(call, reply, effects, nowMillis);
        }
    }

    void tick(ClaimEffects effects, long nowMillis) {
        for (PartitionWriter writer : writers.values()) {
            writer.tick(effects, nowMillis);
        }
    }
}
