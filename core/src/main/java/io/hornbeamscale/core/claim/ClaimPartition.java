package io.hornbeamscale.core.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.RequestId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The claims of one partition, which are stored as one value. Mutable; not safe for use by several threads. */
final class ClaimPartition {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int FORMAT = 1;

    private final Map<String, ClaimRecord> records = new LinkedHashMap<>();
    private int bytes;

    static ClaimPartition empty() {
        return new ClaimPartition();
    }

    ClaimPartition copy() {
        ClaimPartition copy = new ClaimPartition();
        copy.records.putAll(records);
        copy.bytes = bytes;
        return copy;
    }

    Optional<ClaimRecord> find(ClaimKey key) {
        return Optional.ofNullable(records.get(key.digest()));
    }

    int size() {
        return records.size();
    }

    int bytes() {
        return bytes;
    }

    void put(ClaimKey key, ClaimRecord record) {
        remove(key);
        records.put(key.digest(), record);
        bytes += record.maxEncodedBytes();
    }

    void remove(ClaimKey key) {
        ClaimRecord old = records.remove(key.digest());
        bytes -= old == null ? 0 : old.maxEncodedBytes();
    }

    void dropExpired(long epochMillis) {
        records.values().removeIf(record -> {
            boolean isExpired = record.expiresMillis() <= epochMillis;
            bytes -= isExpired ? record.maxEncodedBytes() : 0;
            return isExpired;
        });
    }

    String encode() {
        ObjectNode root = JSON.createObjectNode().put("v", FORMAT);
        ObjectNode claims = root.putObject("c");
        records.forEach((key, record) -> {
            ClaimOwner owner = record.owner();
            ArrayNode node = claims.putArray(key)
                    .add(record.fingerprint())
                    .add(owner.attempt().request().value())
                    .add(owner.attempt().number())
                    .add(owner.backend().value())
                    .add(owner.grant().incarnation())
                    .add(owner.grant().sequence())
                    .add(record.createdMillis())
                    .add(record.expiresMillis());
            if (record.result() != null) {
                node.add(record.result().status())
                        .add(record.result().contentType())
                        .add(record.result().bodyBase64());
            }
        });
        return root.toString();
    }

    /** Decodes a store value; fails on an unknown format rather than dropping data. */
    static ClaimPartition decode(String value) {
        try {
            JsonNode root = JSON.readTree(value);
            if (root.path("v").asInt() != FORMAT) {
                throw new IllegalArgumentException("claims have an unknown format: " + root.path("v"));
            }
            ClaimPartition partition = new ClaimPartition();
            for (Map.Entry<String, JsonNode> entry : root.path("c").properties()) {
                partition.put(new ClaimKey(entry.getKey()), record(entry.getValue()));
            }
            return partition;
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("claims are not valid JSON", e);
        }
    }

    private static ClaimRecord record(JsonNode node) {
        if (node.size() != 8 && node.size() != 11) {
            throw new IllegalArgumentException("a claim has 8 or 11 fields: " + node.size());
        }
        AttemptId attempt =
                new AttemptId(new RequestId(node.path(1).asText()), node.path(2).asInt());
        GrantId grant = new GrantId(node.path(4).asLong(), node.path(5).asLong());
        ClaimOwner owner = new ClaimOwner(attempt, new BackendId(node.path(3).asText()), grant);
        ClaimResult result = null;
        if (node.size() == 11) {
            String body = node.path(10).isNull() ? null : node.path(10).asText();
            result = new ClaimResult(node.path(8).asInt(), node.path(9).asText(), body);
        }
        return new ClaimRecord(
                node.path(0).asText(),
                owner,
                node.path(6).asLong(),
                node.path(7).asLong(),
                result);
    }
}
