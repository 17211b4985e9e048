package io.hornbeamscale.core.claim;

/** Applies operations to the claims of a partition. */
final class ClaimRules {
    private final ClaimSettings settings;

    ClaimRules(ClaimSettings settings) {
        this.settings = settings;
    }

    /** Applies an operation to a working copy. An operation that needs no write leaves the copy unchanged. */
    Applied apply(ClaimPartition partition, ClaimOp op, long epochMillis) {
        ClaimRecord found = partition.find(op.key()).orElse(null);
        if (op.kind() == ClaimOp.Kind.CLAIM) {
            return claim(partition, op, found, epochMillis);
        }
        boolean isOpen =
                found != null && found.result() == null && found.owner().equals(op.owner());
        if (!isOpen) {
            return new Applied(false, ClaimOutcome.of(ClaimOutcome.Kind.SETTLED));
        }
        if (op.kind() == ClaimOp.Kind.FINISH) {
            finish(partition, op, found);
        } else {
            partition.remove(op.key());
        }
        return new Applied(true, ClaimOutcome.of(ClaimOutcome.Kind.SETTLED));
    }

    private Applied claim(ClaimPartition partition, ClaimOp op, ClaimRecord found, long epochMillis) {
        if (found == null) {
            ClaimRecord fresh = newRecord(op, epochMillis);
            if (partition.bytes() + fresh.maxEncodedBytes() > settings.maxPartitionBytes()) {
                return new Applied(false, ClaimOutcome.of(ClaimOutcome.Kind.FULL));
            }
            partition.put(op.key(), fresh);
            return new Applied(true, ClaimOutcome.of(ClaimOutcome.Kind.GRANTED));
        }
        if (!found.fingerprint().equals(op.fingerprint())) {
            return new Applied(false, ClaimOutcome.of(ClaimOutcome.Kind.KEY_REUSED));
        }
        if (found.result() != null) {
            return new Applied(false, new ClaimOutcome(ClaimOutcome.Kind.DONE, found));
        }
        if (found.owner().equals(op.owner())) {
            return new Applied(false, ClaimOutcome.of(ClaimOutcome.Kind.GRANTED));
        }
        if (!found.owner().equals(op.supersedes())) {
            return new Applied(false, new ClaimOutcome(ClaimOutcome.Kind.HELD, found));
        }
        partition.put(op.key(), newRecord(op, epochMillis));
        return new Applied(true, ClaimOutcome.of(ClaimOutcome.Kind.GRANTED));
    }

    private ClaimRecord newRecord(ClaimOp op, long epochMillis) {
        long expiresMillis = epochMillis + settings.retentionMillis() + settings.maxClockSkewMillis();
        return new ClaimRecord(op.fingerprint(), op.owner(), epochMillis, expiresMillis, null);
    }

    /** Adds the result, without its body if the partition has no room for it. */
    private void finish(ClaimPartition partition, ClaimOp op, ClaimRecord found) {
        ClaimRecord done = found.withResult(op.result());
        if (partition.bytes() - found.maxEncodedBytes() + done.maxEncodedBytes() > settings.maxPartitionBytes()) {
            done = found.withResult(op.result().withoutBody());
        }
        partition.put(op.key(), done);
    }

    record Applied(boolean isChanged, ClaimOutcome outcome) {}
}
