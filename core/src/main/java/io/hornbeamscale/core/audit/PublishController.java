package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.document.ChangeWarning;
import io.hornbeamscale.core.document.ChangeWarnings;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentDiff;
import io.hornbeamscale.core.document.DocumentJson;
import io.hornbeamscale.core.document.DocumentProblem;
import io.hornbeamscale.core.document.DocumentValidator;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.core.util.Arguments;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Publishes one change: reads the head, checks the change, moves older audit records to a segment if the head is full,
 * and writes version, document, writer id and audit record with a single compare-and-swap. After a lost reply the head
 * is read again: the writer id in the audit record of the next version tells whether the write took effect.
 */
public final class PublishController implements StoreOperation<PublishResult> {
    // A read may return an outdated value, so a version below the expected one is read again before it is accepted.
    private static final int MAX_STALE_READS = 4;

    private enum Phase {
        READ_HEAD,
        READ_TRAIL,
        WRITE_SEGMENT,
        SWAP
    }

    private final PublishRequest request;
    private final TrailLimits limits;
    private final RetryBackoff backoff;
    private Phase phase = Phase.READ_HEAD;
    private StoreCall lastCall;
    private TrailReader trailReader;
    private long headRevision;
    private SegmentWriter<AuditRecord> segmentWriter;
    private PublishedHead headBeforeSegment;
    private Document newDocument;
    private DocumentDiff diff;
    private List<ChangeWarning> warnings = List.of();
    private boolean isSwapSent;
    private int staleReads;

    /**
     * Creates a controller for one change.
     *
     * @param request the change, not null
     * @param limits when audit records are moved to segments, not null
     * @param random the random source for the jitter of retries, not null
     */
    public PublishController(PublishRequest request, TrailLimits limits, RandomGenerator random) {
        this.request = Arguments.notNull(request, "request");
        this.limits = Arguments.notNull(limits, "limits");
        this.backoff = new RetryBackoff(Arguments.notNull(random, "random"));
    }

    @Override
    public StoreStep<PublishResult> start(long nowMillis) {
        backoff.start(nowMillis);
        return readHead(0);
    }

    @Override
    public StoreStep<PublishResult> onReply(StoreReply reply, long nowMillis) {
        Arguments.notNull(reply, "reply");
        if (reply instanceof StoreReply.NoAnswer) {
            return onNoAnswer(nowMillis);
        }
        try {
            return switch (phase) {
                case READ_HEAD -> onHead(reply);
                case READ_TRAIL -> onTrailReply(reply);
                case WRITE_SEGMENT -> onSegmentReply(reply);
                case SWAP -> onSwap(reply, nowMillis);
            };
        } catch (ServingException e) {
            return done(new PublishResult.Failed(ErrorKind.INTERNAL, outcome(), outcomeText() + e.getMessage()));
        }
    }

    private RunOutcome outcome() {
        return isSwapSent ? RunOutcome.UNKNOWN : RunOutcome.NOT_RUN;
    }

    private String outcomeText() {
        return isSwapSent
                ? "It is not known whether version " + (request.expectedVersion() + 1)
                        + " was published; to find out, look for writer id " + request.writer() + " in the history. "
                : "Nothing was published. ";
    }

    private StoreStep<PublishResult> onNoAnswer(long nowMillis) {
        if (backoff.isExpired(nowMillis)) {
            String message = outcomeText() + "The store does not answer (" + lastCall.key() + ").";
            return done(new PublishResult.Failed(ErrorKind.STORE_UNAVAILABLE, outcome(), message));
        }
        if (phase == Phase.SWAP) {
            return readHead(backoff.nextDelayMillis());
        }
        if (phase == Phase.WRITE_SEGMENT) {
            return call(segmentWriter.onReply(new StoreReply.NoAnswer(lastCall.key())), backoff.nextDelayMillis());
        }
        return call(lastCall, backoff.nextDelayMillis());
    }

    private StoreStep<PublishResult> readHead(long delayMillis) {
        phase = Phase.READ_HEAD;
        return call(new StoreCall.Get(PublishedHead.KEY), delayMillis);
    }

    private StoreStep<PublishResult> call(StoreCall call, long delayMillis) {
        lastCall = call;
        return new StoreStep.Call<>(call, delayMillis);
    }

    private static StoreStep<PublishResult> done(PublishResult result) {
        return new StoreStep.Done<>(result);
    }

    private StoreStep<PublishResult> onHead(StoreReply reply) {
        PublishedHead head = PublishedHead.none();
        headRevision = 0;
        if (reply instanceof StoreReply.Found found) {
            head = PublishedHead.decode(found.value());
            headRevision = found.revision();
        }
        if (head.version() < request.expectedVersion() && staleReads++ < MAX_STALE_READS) {
            return readHead(backoff.nextDelayMillis());
        }
        long lowestVersion = request.expectedVersion() + 1;
        if (request.rollbackTo() > 0) {
            lowestVersion = Math.min(lowestVersion, request.rollbackTo() + 1);
        }
        trailReader = new TrailReader(head, lowestVersion);
        return continueTrail();
    }

    private StoreStep<PublishResult> continueTrail() {
        phase = Phase.READ_TRAIL;
        Optional<StoreCall> next = trailReader.nextCall();
        return next.isPresent() ? call(next.get(), 0) : decide();
    }

    private StoreStep<PublishResult> onTrailReply(StoreReply reply) {
        trailReader.onReply(reply);
        return continueTrail();
    }

    private StoreStep<PublishResult> decide() {
        PublishedHead head = trailReader.head();
        if (head.version() == request.expectedVersion()) {
            return newDocument == null ? check(head) : prepare(head);
        }
        Optional<AuditRecord> next = trailReader.record(request.expectedVersion() + 1);
        if (next.isPresent() && next.get().writer().equals(request.writer())) {
            return done(new PublishResult.Published(request.expectedVersion() + 1, diff, warnings));
        }
        if (isSwapSent && next.isEmpty()) {
            throw new ServingException(ErrorKind.INTERNAL, "The audit trail does not reach the version.");
        }
        return done(conflict(head));
    }

    private PublishResult conflict(PublishedHead head) {
        Document base = trailReader.documentAt(request.expectedVersion()).orElse(head.document());
        DocumentDiff theirs = DocumentDiff.between(base, head.document());
        Document wanted = request.document() == null
                ? trailReader.documentAt(request.rollbackTo()).orElse(base)
                : request.document();
        DocumentDiff mine = DocumentDiff.between(base, wanted);
        List<AuditRecord> records = trailReader.records().stream()
                .filter(record -> record.version() > request.expectedVersion())
                .toList();
        return new PublishResult.Conflict(
                request.expectedVersion(), head.version(), mine, theirs, mine.overlap(theirs), records);
    }

    private StoreStep<PublishResult> check(PublishedHead head) {
        Document wanted = request.document();
        if (wanted == null) {
            long version = request.rollbackTo();
            Optional<Document> old = version < head.version() ? trailReader.documentAt(version) : Optional.empty();
            if (old.isEmpty()) {
                String allowed = "a version from 1 to " + (head.version() - 1) + " that the audit trail reaches";
                return invalid(new DocumentProblem("rollback", Long.toString(version), allowed));
            }
            wanted = old.get();
        }
        List<DocumentProblem> problems = DocumentValidator.validate(wanted);
        if (!problems.isEmpty()) {
            return done(new PublishResult.Invalid(problems));
        }
        diff = DocumentDiff.between(head.document(), wanted);
        if (diff.isEmpty()) {
            return done(new PublishResult.Unchanged(head.version()));
        }
        warnings = ChangeWarnings.of(diff);
        if (!warnings.isEmpty() && !request.acceptsWarnings()) {
            return done(new PublishResult.NeedsAcceptance(diff, warnings));
        }
        newDocument = wanted;
        return prepare(head);
    }

    private static StoreStep<PublishResult> invalid(DocumentProblem problem) {
        return done(new PublishResult.Invalid(List.of(problem)));
    }

    private StoreStep<PublishResult> prepare(PublishedHead head) {
        Trail<AuditRecord> trail = head.trail();
        int size = trail.entries().size();
        if (size > 0 && (size >= limits.maxEntries() || bytes(trail.toTree()) > limits.maxBytes())) {
            return startSegment(head);
        }
        return swap(head);
    }

    private StoreStep<PublishResult> startSegment(PublishedHead head) {
        phase = Phase.WRITE_SEGMENT;
        headBeforeSegment = head;
        segmentWriter = new SegmentWriter<>(head.trail(), AuditRecord.class, PublishedHead.SEGMENT_PREFIX);
        return call(segmentWriter.writeCall(), 0);
    }

    private StoreStep<PublishResult> onSegmentReply(StoreReply reply) {
        StoreCall next = segmentWriter.onReply(reply);
        if (segmentWriter.remaining().isEmpty()) {
            return call(next, 0);
        }
        PublishedHead head = headBeforeSegment;
        return swap(new PublishedHead(
                head.version(),
                head.writer(),
                head.document(),
                segmentWriter.remaining().get()));
    }

    private StoreStep<PublishResult> swap(PublishedHead head) {
        AuditRecord record = new AuditRecord(
                head.version() + 1,
                request.writer(),
                request.operator(),
                request.origin(),
                request.wallMillis(),
                request.action(),
                request.why(),
                diff.changes().stream().map(RecordedChange::of).toList());
        String value = head.with(newDocument, record).encode();
        if (bytes(value) > limits.maxValueBytes()) {
            value = head.with(newDocument, record.compact()).encode();
        }
        if (bytes(value) > limits.maxValueBytes()) {
            if (phase != Phase.WRITE_SEGMENT && !head.trail().entries().isEmpty()) {
                return startSegment(head);
            }
            return invalid(new DocumentProblem(
                    "document",
                    bytes(value) + " bytes with its audit record",
                    "at most " + limits.maxValueBytes() + " bytes; publish the change in several steps"));
        }
        phase = Phase.SWAP;
        isSwapSent = true;
        return call(new StoreCall.CompareAndSwap(PublishedHead.KEY, headRevision, value), 0);
    }

    private StoreStep<PublishResult> onSwap(StoreReply reply, long nowMillis) {
        if (reply instanceof StoreReply.Swapped) {
            return done(new PublishResult.Published(request.expectedVersion() + 1, diff, warnings));
        }
        if (backoff.isExpired(nowMillis)) {
            return onNoAnswer(nowMillis);
        }
        return readHead(0);
    }

    private static int bytes(Object value) {
        String text = value instanceof String string ? string : DocumentJson.write(value);
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
