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

/** Holds the partition writers of one entry and chooses the entry that should write a partition. */
final class ClaimPartitionWriters {
    private final ClaimSettings settings;
    private final RandomGenerator random;
    private final Map<Integer, ClaimPartitionWriter> writers = new TreeMap<>();
    private List<NodeId> members = List.of();

    ClaimPartitionWriters(ClaimSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    void setMembers(List<NodeId> live) {
        members = List.copyOf(live);
    }

    /** Returns the member with the highest hash for the key's partition, or the given node if there is no member. */
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

    void submit(long opId, ClaimOp op, ClaimWriteListener listener, long nowMillis) {
        int partition = op.key().partition(settings.partitions());
        writers.computeIfAbsent(partition, p -> new ClaimPartitionWriter(p, settings, random))
                .submit(opId, op, listener, nowMillis);
    }

    boolean cancel(ClaimKey key, long opId) {
        ClaimPartitionWriter writer = writers.get(key.partition(settings.partitions()));
        return writer != null && writer.cancel(opId);
    }

    void storeReplied(StoreCall call, StoreReply reply, ClaimWriteListener listener, long nowMillis) {
        for (ClaimPartitionWriter writer : writers.values()) {
            writer.storeReplied(call, reply, listener, nowMillis);
        }
    }

    void tick(ClaimWriteListener listener, long nowMillis) {
        for (ClaimPartitionWriter writer : writers.values()) {
            writer.tick(listener, nowMillis);
        }
    }
}
