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
 * Grants reservations while the predicted peak of memory use fits into the engine. Waiting work is ordered by priority,
 * expected length and age, and fairly between customers.
 */
public final class MemoryScheduler implements EngineScheduler {
    private static final long RETRY_MILLIS = 250;
    private static final long MAX_RETRY_MILLIS = 30_000;
    /** The minimum ratio of the expected output of long work to the mean output of the service. */
    private static final double LONG_FACTOR = 1.5;
    /** The additional age that long work needs to go before short work of the same priority. */
    private static final long LONG_WORK_DELAY_MILLIS = 4_000;
    /** The additional age that work needs to go before work of the next higher priority. */
    private static final long MILLIS_PER_PRIORITY = 5_000;
    /** The age from which long work that does not fit restricts short work to its own share. */
    private static final long RESTRICT_SHORT_AFTER_MILLIS = 4_000;

    /**
     * The share of the expected output of an admitted request that is held in its customer's counter, in addition to
     * the emitted tokens. Without it, a customer would take every free slot until its first tokens are emitted.
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
    /** The number of admitted suspects. */
    private int admittedSuspects;

    private long lastOrder;
    private boolean isDraining;

    /**
     * Creates a scheduler that estimates output lengths itself.
     *
     * @param config the settings, not null
     */
    public MemoryScheduler(SchedulerConfig config) {
        this(config, new LengthEstimator(Arguments.notNull(config, "config").typicalTokens()));
    }

    /**
     * Creates a scheduler.
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
        long excessMillis =
                waitMillis(waiting.tokensAhead(q)) - (reservation.work().deadlineMillis() - nowMillis);
        if (excessMillis > 0) {
            return List.of(refuse(reservation, ErrorKind.OVERLOADED, Math.min(MAX_RETRY_MILLIS, excessMillis)));
        }
        waiting.add(q);
        waitingShortTokens += q.isLong ? 0 : q.tokens();
        return grant(nowMillis);
    }

    private QueuedReservation queued(Reservation r) {
        WorkItem w = r.work();
        LengthDistribution distribution = lengths.distribution(w);
        double expected = w.maxTokens() > 0 ? Math.min(w.maxTokens(), distribution.mean()) : distribution.mean();
        if (w.isPlain()) {
            expected = 1;
        } else {
            serviceMean = lengths.serviceMean(w);
        }
        boolean isLong = config.isPredictive() && expected > LONG_FACTOR * serviceMean;
        lastOrder++;
        return new QueuedReservation(r, distribution, expected, isLong, w.arrivedMillis(), lastOrder);
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
        heads.sort(Comparator.comparingDouble(MemoryScheduler::effectiveArrivalMillis)
                .thenComparingLong(q -> q.order));
        boolean isShortRestricted = false;
        for (QueuedReservation q : heads) {
            if (memory.fits(q, batch.limit(), isShortRestricted, nowMillis)) {
                return q;
            }
            isShortRestricted |=
                    q.isLong && nowMillis - q.reservation.work().arrivedMillis() > RESTRICT_SHORT_AFTER_MILLIS;
        }
        return null;
    }

    /** Two suspects never share an engine, so that a second crash identifies its cause. */
    private boolean isBesideSuspect(QueuedReservation q) {
        return admittedSuspects > 0 && q.reservation.work().isSuspect();
    }

    private static double effectiveArrivalMillis(QueuedReservation q) {
        WorkItem w = q.reservation.work();
        long delay = q.isLong ? LONG_WORK_DELAY_MILLIS : 0;
        return w.arrivedMillis() + delay - (double) w.priority() * MILLIS_PER_PRIORITY;
    }

    private ScheduleAction issueGrant(QueuedReservation q, long nowMillis) {
        Reservation r = q.reservation;
        removeWaiting(r.attempt());
        lastGrantSequence++;
        GrantId grant = new GrantId(config.incarnation(), lastGrantSequence);
        AdmittedAttempt a =
                new AdmittedAttempt(q, grant, nowMillis + config.grantMillis(), HELD_OUTPUT_SHARE * q.expectedTokens);
        charge(a, a.promptTokens);
        hold(a, a.heldTokens);
        memory.add(a);
        admittedSuspects += r.work().isSuspect() ? 1 : 0;
        return new ScheduleAction.SendGrant(r.entry(), r.attempt(), grant, config.grantMillis());
    }

    private void charge(AdmittedAttempt a, double tokens) {
        if (config.isFair()) {
            counters.charge(a.reservation.work().customer(), tokens);
        }
    }

    private void hold(AdmittedAttempt a, double tokens) {
        if (config.isFair()) {
            counters.hold(a.reservation.work().customer(), tokens);
        }
    }

    private void removeWaiting(AttemptId attempt) {
        QueuedReservation q = waiting.remove(attempt);
        if (q != null && !q.isLong) {
            waitingShortTokens = Math.max(0, waitingShortTokens - q.tokens());
        }
    }

    private AdmittedAttempt release(AttemptId attempt) {
        AdmittedAttempt a = memory.remove(attempt);
        if (a != null) {
            admittedSuspects -= a.reservation.work().isSuspect() ? 1 : 0;
            hold(a, -a.heldTokens);
            charge(a, a.isStarted ? 0 : -a.promptTokens);
            counters.removeIfInactive(a.reservation.work().customer());
        }
        return a;
    }

    @Override
    public List<ScheduleAction> cancel(AttemptId attempt, long nowMillis) {
        removeWaiting(attempt);
        AdmittedAttempt a = memory.get(attempt);
        if (a != null && !a.isStarted) {
            release(attempt);
        }
        return grant(nowMillis);
    }

    @Override
    public boolean start(AttemptId attempt, GrantId grant, long nowMillis) {
        AdmittedAttempt a = memory.get(attempt);
        if (a == null || a.isStarted || !a.grant.equals(grant) || nowMillis >= a.grantExpiresMillis) {
            return false;
        }
        a.isStarted = true;
        return true;
    }

    @Override
    public List<ScheduleAction> tokens(AttemptId attempt, int count, long nowMillis) {
        AdmittedAttempt a = memory.get(attempt);
        if (a == null) {
            return List.of();
        }
        gaps.record(a.lastTokenMillis, count, nowMillis);
        a.lastTokenMillis = nowMillis;
        memory.addTokens(a, count, LONG_FACTOR * serviceMean);
        charge(a, count);
        return List.of();
    }

    @Override
    public List<ScheduleAction> preempted(AttemptId attempt, long nowMillis) {
        memory.recordOwnPreemption();
        AdmittedAttempt a = memory.get(attempt);
        if (a != null) {
            // The gap until the attempt runs again does not mean that the engine is slow.
            a.lastTokenMillis = 0;
        }
        return List.of();
    }

    @Override
    public List<ScheduleAction> ended(AttemptId attempt, boolean isComplete, long nowMillis) {
        AdmittedAttempt a = release(attempt);
        if (a != null && isComplete && !a.reservation.work().isPlain()) {
            lengths.observe(a.reservation.work(), a.emitted);
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
        prefixes.update(hash, isCached);
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
        for (AdmittedAttempt a : memory.all()) {
            if (!a.isStarted && nowMillis >= a.grantExpiresMillis) {
                release(a.reservation.attempt());
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

    /** Returns the expected wait. Half of the waiting work counts, since each request waits at two agents. */
    private long waitMillis(double tokens) {
        if (tokens <= 0 || config.capacityTokens() == 0) {
            return 0;
        }
        double rate = Math.max(0.1, gaps.tokensPerMilli());
        return (long) Math.min(600_000, tokens / 2 / rate);
    }

    /**
     * Returns the safety margin above the predicted peak of memory use.
     *
     * @return the margin in standard deviations
     */
    public double headroom() {
        return memory.deviations();
    }
}
