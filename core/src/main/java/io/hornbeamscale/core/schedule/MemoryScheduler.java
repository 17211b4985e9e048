package io.hornbeamscale.core.schedule;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.estimate.LengthDistribution;
import io.hornbeamscale.core.estimate.LengthEstimator;
import io.hornbeamscale.core.estimate.LengthModel;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.EngineLoad;
import io.hornbeamscale.core.work.Reservation;
import io.hornbeamscale.core.work.WorkItem;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Grants reservations while the predicted peak of the engine's memory fits. Waiting work is ordered by priority,
 * learned length and age, and fairly between customers.
 */
public final class MemoryScheduler implements EngineScheduler {
    private static final long RETRY_MILLIS = 250;
    private static final long MAX_RETRY_MILLIS = 30_000;
    /** Work is long if its expected output exceeds the mean of the service by this factor. */
    private static final double LONG_FACTOR = 1.5;
    /** The age at which long work goes before short work of the same priority. */
    private static final long LONG_WORK_DELAY_MILLIS = 4_000;
    /** The age by which work of one priority goes before work of the next higher priority. */
    private static final long MILLIS_PER_PRIORITY = 5_000;
    /** The age from which long work that does not fit holds short work back to its own share. */
    private static final long RESTRICT_SHORT_AFTER_MILLIS = 4_000;

    /**
     * The share of its expected output by which a running request raises its customer's counter on top of the tokens
     * that have arrived. Without it, a customer would take every place that becomes free until its tokens arrive.
     */
    private static final double HELD_OUTPUT_SHARE = 0.5;

    private final SchedulerConfig config;
    private final LengthModel lengths;
    private final VirtualTokenCounters counters = new VirtualTokenCounters();
    private final WaitQueue waiting = new WaitQueue(counters);
    private final EngineMemory memory;
    private final CachedPrefixes prefixes = new CachedPrefixes();
    private final TokenGaps gaps = new TokenGaps();
    private final BatchLimit batch;
    private double serviceMean;
    private double waitingShortTokens;
    private long lastGrantSequence;
    /** Suspects that are granted or run. */
    private int admittedSuspects;

    private long lastOrder;
    private boolean isDraining;

    /**
     * Creates a scheduler without work that learns lengths itself.
     *
     * @param config the settings, not null
     */
    public MemoryScheduler(SchedulerConfig config) {
        this(config, new LengthEstimator(Arguments.notNull(config, "config").typicalTokens()));
    }

    /**
     * Creates a scheduler without work.
     *
     * @param config the settings, not null
     * @param lengths the model of output lengths, not null
     */
    public MemoryScheduler(SchedulerConfig config, LengthModel lengths) {
        this.config = Arguments.notNull(config, "config");
        this.lengths = Arguments.notNull(lengths, "lengths");
        this.memory = new EngineMemory(config);
        this.batch = new BatchLimit(config.targetGapMillis(), config.maxRunning());
        this.serviceMean = config.typicalTokens();
    }

    @Override
    public List<ScheduleAction> reserve(Reservation reservation, long nowMillis) {
        AttemptId attempt = reservation.attempt();
        if (isDraining) {
            return List.of(refuse(reservation, ErrorKind.DRAINING, 0));
        }
        if (memory.contains(attempt) || waiting.contains(attempt)) {
            return List.of();
        }
        if (waiting.size() >= config.maxWaiting() || !canEverFit(reservation)) {
            return List.of(refuse(reservation, ErrorKind.OVERLOADED, RETRY_MILLIS));
        }
        QueuedReservation q = queued(reservation);
        long pastDeadline =
                waitMillis(waiting.tokensAhead(q)) - (reservation.work().deadlineMillis() - nowMillis);
        if (pastDeadline > 0) {
            return List.of(refuse(reservation, ErrorKind.OVERLOADED, Math.min(MAX_RETRY_MILLIS, pastDeadline)));
        }
        waiting.add(q);
        waitingShortTokens += q.isLong ? 0 : q.tokens();
        return grant(nowMillis);
    }

    private QueuedReservation queued(Reservation r) {
        WorkItem w = r.work();
        LengthDistribution curve = lengths.distribution(w);
        double expected = w.maxTokens() > 0 ? Math.min(w.maxTokens(), curve.mean()) : curve.mean();
        if (w.isPlain()) {
            expected = 1;
        } else {
            serviceMean = lengths.serviceMean(w);
        }
        boolean isLong = config.isPredictive() && expected > LONG_FACTOR * serviceMean;
        lastOrder++;
        return new QueuedReservation(r, curve, expected, isLong, w.arrivedMillis(), lastOrder);
    }

    private boolean canEverFit(Reservation r) {
        return config.capacityTokens() == 0 || r.work().promptTokens() < config.capacityTokens();
    }

    private static ScheduleAction refuse(Reservation r, ErrorKind kind, long retryAfterMillis) {
        return new ScheduleAction.SendRefuse(r.entry(), r.attempt(), kind, retryAfterMillis);
    }

    private List<ScheduleAction> grant(long nowMillis) {
        List<ScheduleAction> out = new ArrayList<>();
        while (waiting.size() > 0 && memory.size() < config.maxRunning()) {
            QueuedReservation next = next(nowMillis);
            if (next == null) {
                break;
            }
            out.add(issueGrant(next, nowMillis));
        }
        return out;
    }

    /** Returns the most urgent reservation that fits, or null. */
    private QueuedReservation next(long nowMillis) {
        List<QueuedReservation> heads = waiting.heads(q -> !isBesideSuspect(q));
        heads.sort(Comparator.comparingDouble(MemoryScheduler::urgency).thenComparingLong(q -> q.order));
        boolean isHeldBack = false;
        for (QueuedReservation q : heads) {
            if (memory.fits(q, batch.limit(), isHeldBack, nowMillis)) {
                return q;
            }
            isHeldBack |= q.isLong && nowMillis - q.reservation.work().arrivedMillis() > RESTRICT_SHORT_AFTER_MILLIS;
        }
        return null;
    }

    /** Two suspects never share an engine, so that a second crash tells which of them caused it. */
    private boolean isBesideSuspect(QueuedReservation q) {
        return admittedSuspects > 0 && q.reservation.work().isSuspect();
    }

    private static double urgency(QueuedReservation q) {
        WorkItem w = q.reservation.work();
        long penalty = q.isLong ? LONG_WORK_DELAY_MILLIS : 0;
        return w.arrivedMillis() + penalty - (double) w.priority() * MILLIS_PER_PRIORITY;
    }

    private ScheduleAction issueGrant(QueuedReservation q, long nowMillis) {
        Reservation r = q.reservation;
        removeWaiting(r.attempt());
        lastGrantSequence++;
        GrantId grant = new GrantId(config.incarnation(), lastGrantSequence);
        AdmittedAttempt h =
                new AdmittedAttempt(q, grant, nowMillis + config.grantMillis(), HELD_OUTPUT_SHARE * q.expectedTokens);
        charge(h, h.promptTokens);
        hold(h, h.heldTokens);
        memory.add(h);
        admittedSuspects += r.work().isSuspect() ? 1 : 0;
        return new ScheduleAction.SendGrant(r.entry(), r.attempt(), grant, config.grantMillis());
    }

    private void charge(AdmittedAttempt h, double tokens) {
        if (config.isFair()) {
            counters.charge(h.reservation.work().customer(), tokens);
        }
    }

    private void hold(AdmittedAttempt h, double tokens) {
        if (config.isFair()) {
            counters.hold(h.reservation.work().customer(), tokens);
        }
    }

    private void removeWaiting(AttemptId attempt) {
        QueuedReservation q = waiting.remove(attempt);
        if (q != null && !q.isLong) {
            waitingShortTokens = Math.max(0, waitingShortTokens - q.tokens());
        }
    }

    private AdmittedAttempt release(AttemptId attempt) {
        AdmittedAttempt h = memory.remove(attempt);
        if (h != null) {
            admittedSuspects -= h.reservation.work().isSuspect() ? 1 : 0;
            hold(h, -h.heldTokens);
            charge(h, h.isStarted ? 0 : -h.promptTokens);
            counters.forget(h.reservation.work().customer());
        }
        return h;
    }

    @Override
    public List<ScheduleAction> cancel(AttemptId attempt, long nowMillis) {
        removeWaiting(attempt);
        AdmittedAttempt h = memory.get(attempt);
        if (h != null && !h.isStarted) {
            release(attempt);
        }
        return grant(nowMillis);
    }

    @Override
    public boolean start(AttemptId attempt, GrantId grant, long nowMillis) {
        AdmittedAttempt h = memory.get(attempt);
        if (h == null || h.isStarted || !h.grant.equals(grant) || nowMillis >= h.grantExpiresMillis) {
            return false;
        }
        h.isStarted = true;
        return true;
    }

    @Override
    public List<ScheduleAction> tokens(AttemptId attempt, int count, long nowMillis) {
        AdmittedAttempt h = memory.get(attempt);
        if (h == null) {
            return List.of();
        }
        gaps.token(h.lastTokenMillis, count, nowMillis);
        h.lastTokenMillis = nowMillis;
        memory.addTokens(h, count, LONG_FACTOR * serviceMean);
        charge(h, count);
        return List.of();
    }

    @Override
    public List<ScheduleAction> preempted(AttemptId attempt, long nowMillis) {
        memory.preemptionSeen();
        AdmittedAttempt h = memory.get(attempt);
        if (h != null) {
            // The pause until the attempt runs again is no sign of a slow engine.
            h.lastTokenMillis = 0;
        }
        return List.of();
    }

    @Override
    public List<ScheduleAction> ended(AttemptId attempt, boolean isComplete, long nowMillis) {
        AdmittedAttempt h = release(attempt);
        if (h != null && isComplete && !h.reservation.work().isPlain()) {
            lengths.observe(h.reservation.work(), h.emitted);
        }
        return grant(nowMillis);
    }

    @Override
    public List<ScheduleAction> load(EngineLoad load, long nowMillis) {
        memory.report(load);
        return List.of();
    }

    @Override
    public void prefix(long hash, boolean isCached, long nowMillis) {
        prefixes.change(hash, isCached);
    }

    @Override
    public void weights(Map<CustomerId, Double> weights) {
        counters.weights(Arguments.notNull(weights, "weights"));
    }

    @Override
    public List<ScheduleAction> drain(long nowMillis) {
        isDraining = true;
        List<ScheduleAction> out = new ArrayList<>();
        for (QueuedReservation q : waiting.all()) {
            removeWaiting(q.reservation.attempt());
            out.add(refuse(q.reservation, ErrorKind.DRAINING, 0));
        }
        return out;
    }

    @Override
    public List<ScheduleAction> tick(long nowMillis) {
        List<ScheduleAction> out = new ArrayList<>();
        memory.tick(waitingShortTokens, nowMillis);
        batch.adjust(gaps.gapMillis(memory.size(), nowMillis), memory.size(), nowMillis);
        for (AdmittedAttempt h : memory.all()) {
            if (!h.isStarted && nowMillis >= h.grantExpiresMillis) {
                release(h.reservation.attempt());
            }
        }
        for (QueuedReservation q : waiting.all()) {
            if (nowMillis >= q.reservation.work().deadlineMillis()) {
                removeWaiting(q.reservation.attempt());
                out.add(refuse(q.reservation, ErrorKind.DEADLINE_EXCEEDED, 0));
            }
        }
        out.addAll(grant(nowMillis));
        return out;
    }

    @Override
    public BackendStatus status(long nowMillis) {
        return new BackendStatus(
                config.backend(),
                config.incarnation(),
                config.capacityTokens(),
                memory.usedTokens(),
                memory.size(),
                waiting.size(),
                waitMillis(waiting.tokens()),
                gaps.gapMillis(memory.size(), nowMillis),
                isDraining,
                prefixes.hashes());
    }

    /** Half of the waiting work counts, as each request waits at two agents. */
    private long waitMillis(double tokens) {
        if (tokens <= 0 || config.capacityTokens() == 0) {
            return 0;
        }
        double rate = Math.max(0.1, gaps.tokensPerMilli());
        return (long) Math.min(600_000, tokens / 2 / rate);
    }

    /**
     * Returns the margin above the predicted peak.
     *
     * @return the margin in standard deviations
     */
    public double headroom() {
        return memory.deviations();
    }
}
