package io.hornbeamscale.core.audit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamscale.core.document.DocumentJson;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.core.util.Arguments;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Writes audit events to the store in batches, to avoid one write per event. Each batch has a unique writer id; after a
 * lost reply the controller reads the trail and looks for its batch, so each event is written exactly once while the
 * process is running. Events that were not written yet are lost if the process ends. While the store is unavailable,
 * the number of waiting events is limited: the oldest ones are dropped, and their number is recorded.
 */
public final class EventTrailController {
    /** How long events are collected before they are written, in milliseconds. */
    public static final long FLUSH_MILLIS = 30_000;

    /** The maximum number of events per batch. */
    public static final int MAX_BATCH_EVENTS = 200;

    /** The maximum number of events that wait to be written. */
    public static final int MAX_WAITING_EVENTS = 1_000;

    // The nodes' writes are spread over several keys, so that few of them conflict.
    private static final int PARTITIONS = 8;

    private final String node;
    private final String key;
    private final TrailLimits limits;
    private final RandomGenerator random;
    private final Deque<AuditEvent> waiting = new ArrayDeque<>();
    private long dropped;
    private long sequence;
    private long flushAtMillis = Long.MAX_VALUE;
    private boolean isCalling;
    private List<AuditEvent> batch = List.of();
    private String writer = "";
    private long headRevision;
    private SegmentWriter<EventBatch> segmentWriter;
    private long nextNumber;
    private long attemptedNumber;
    private Trail<EventBatch> head = Trail.empty();
    private boolean isSwapping;
    private boolean isSearchingSegments;
    private RetryBackoff backoff;

    /**
     * Creates a controller.
     *
     * @param node an id of the process that includes its incarnation, not blank
     * @param limits when batches are moved to segments, not null
     * @param random the random source for the jitter of writes and retries, not null
     */
    public EventTrailController(String node, TrailLimits limits, RandomGenerator random) {
        this.node = Arguments.notBlank(node, "node");
        this.limits = Arguments.notNull(limits, "limits");
        this.random = Arguments.notNull(random, "random");
        this.key = key(Math.floorMod(node.hashCode(), PARTITIONS));
        this.backoff = new RetryBackoff(random);
    }

    /**
     * Returns the keys of all event trails in the store.
     *
     * @return the keys, never null
     */
    public static List<String> keys() {
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < PARTITIONS; i++) {
            keys.add(key(i));
        }
        return keys;
    }

    private static String key(int partition) {
        return "audit/events/" + partition;
    }

    /**
     * Decodes an event trail.
     *
     * @param value the value of one of {@link #keys()} or of a segment, not null
     * @return the trail, never null
     * @throws ServingException if the value is not a trail
     */
    public static Trail<EventBatch> decode(String value) {
        return Trail.fromTree(DocumentJson.parse(value), EventBatch.class);
    }

    /**
     * Adds an event to be written. If too many events are waiting, the oldest one is dropped.
     *
     * @param event the event, not null
     * @param nowMillis the current time in milliseconds
     */
    public void record(AuditEvent event, long nowMillis) {
        waiting.addLast(Arguments.notNull(event, "event"));
        if (waiting.size() > MAX_WAITING_EVENTS) {
            waiting.removeFirst();
            dropped++;
        }
        if (flushAtMillis == Long.MAX_VALUE) {
            flushAtMillis = nowMillis + FLUSH_MILLIS / 2 + random.nextLong(FLUSH_MILLIS / 2);
        }
    }

    /**
     * Returns how many events were dropped since the last batch was started. The next batch records their number.
     *
     * @return the number of events
     */
    public long dropped() {
        return dropped;
    }

    /**
     * Starts to write a batch of events if one is due and no call is pending.
     *
     * @param nowMillis the current time in milliseconds
     * @return the call to make, empty if none, never null
     */
    public Optional<StoreCall> tick(long nowMillis) {
        boolean isDue = nowMillis >= flushAtMillis || (batch.isEmpty() && waiting.size() >= MAX_BATCH_EVENTS);
        if (isCalling || !isDue) {
            return Optional.empty();
        }
        if (batch.isEmpty()) {
            takeBatch(nowMillis);
        }
        return read();
    }

    private void takeBatch(long nowMillis) {
        List<AuditEvent> events = new ArrayList<>();
        if (dropped > 0) {
            long wallMillis =
                    waiting.isEmpty() ? nowMillis : waiting.peekFirst().wallMillis();
            events.add(new AuditEvent(AuditEvent.Kind.DROPPED, node, wallMillis, node, dropped + " events dropped"));
            dropped = 0;
        }
        while (!waiting.isEmpty() && events.size() < MAX_BATCH_EVENTS) {
            events.add(waiting.removeFirst());
        }
        batch = List.copyOf(events);
        writer = node + "/" + ++sequence;
        attemptedNumber = 0;
        backoff = new RetryBackoff(random);
    }

    private Optional<StoreCall> read() {
        isCalling = true;
        isSwapping = false;
        isSearchingSegments = false;
        segmentWriter = null;
        return Optional.of(new StoreCall.Get(key));
    }

    /**
     * Handles the reply to the last call.
     *
     * @param reply the reply, not null
     * @param nowMillis the current time in milliseconds
     * @return the next call to make, empty if none, never null
     */
    public Optional<StoreCall> onReply(StoreReply reply, long nowMillis) {
        Arguments.notNull(reply, "reply");
        if (reply instanceof StoreReply.NoAnswer) {
            isCalling = false;
            flushAtMillis = nowMillis + backoff.nextDelayMillis();
            return Optional.empty();
        }
        try {
            return onAnswer(reply, nowMillis);
        } catch (ServingException e) {
            // A value that cannot be decoded is not overwritten; the write is retried until the value has been
            // repaired.
            return onReply(new StoreReply.NoAnswer(key), nowMillis);
        }
    }

    private Optional<StoreCall> onAnswer(StoreReply reply, long nowMillis) {
        if (isSwapping) {
            return reply instanceof StoreReply.Swapped ? written(nowMillis) : read();
        }
        if (segmentWriter != null) {
            StoreCall next = segmentWriter.onReply(reply);
            return segmentWriter.remaining().isPresent()
                    ? swap(segmentWriter.remaining().get())
                    : Optional.of(next);
        }
        if (isSearchingSegments) {
            return findOwnBatch(
                    reply instanceof StoreReply.Found found ? decode(found.value()) : Trail.empty(), nowMillis);
        }
        head = Trail.empty();
        headRevision = 0;
        if (reply instanceof StoreReply.Found found) {
            head = decode(found.value());
            headRevision = found.revision();
        }
        return findOwnBatch(head, nowMillis);
    }

    /**
     * Checks whether an earlier write of the batch succeeded. If the trail begins after the number of that write, older
     * segments are searched.
     */
    private Optional<StoreCall> findOwnBatch(Trail<EventBatch> trail, long nowMillis) {
        List<EventBatch> entries = trail.entries();
        boolean isOurs = entries.stream().anyMatch(entry -> entry.writer().equals(writer));
        if (isOurs) {
            return written(nowMillis);
        }
        boolean isOlder =
                attemptedNumber > 0 && !entries.isEmpty() && entries.get(0).number() > attemptedNumber;
        if (isOlder && !trail.previous().isEmpty()) {
            isSearchingSegments = true;
            return Optional.of(new StoreCall.Get(trail.previous()));
        }
        return append();
    }

    private Optional<StoreCall> append() {
        List<EventBatch> entries = head.entries();
        nextNumber = entries.isEmpty() ? 1 : entries.get(entries.size() - 1).number() + 1;
        boolean isFull = entries.size() >= limits.maxEntries() || bytes(head.toTree()) > limits.maxBytes();
        if (!entries.isEmpty() && isFull) {
            segmentWriter = new SegmentWriter<>(head, EventBatch.class, key + "/");
            return Optional.of(segmentWriter.writeCall());
        }
        return swap(head);
    }

    private Optional<StoreCall> swap(Trail<EventBatch> trail) {
        isSwapping = true;
        attemptedNumber = nextNumber;
        ObjectNode tree = trail.with(new EventBatch(nextNumber, writer, batch)).toTree();
        return Optional.of(new StoreCall.CompareAndSwap(key, headRevision, DocumentJson.write(tree)));
    }

    private Optional<StoreCall> written(long nowMillis) {
        isCalling = false;
        isSwapping = false;
        batch = List.of();
        flushAtMillis = waiting.isEmpty() ? Long.MAX_VALUE : nowMillis + FLUSH_MILLIS;
        return Optional.empty();
    }

    private static int bytes(ObjectNode tree) {
        return DocumentJson.write(tree).getBytes(StandardCharsets.UTF_8).length;
    }
}
