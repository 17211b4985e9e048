package io.hornbeamscale.core.dispatch;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.limit.CustomerLimiter;
import io.hornbeamscale.core.limit.LinkBudget;
import io.hornbeamscale.core.limit.RetryBudget;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.WorkItem;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Makes reservations at two backend servers and hands the request over to the first that grants. Until then the request
 * stays at the entry, so that it can go to another server.
 */
public final class ReservationDispatcher implements Dispatcher {
    /** The number of reservations of a waiting request. */
    private static final int RESERVATIONS = 2;
    /** The maximum number of reservations, including those added later at servers with a lower cost. */
    private static final int MAX_RESERVATIONS = 4;
    /** The interval at which a waiting request looks for a server with a lower cost, in milliseconds. */
    private static final long RECHECK_MILLIS = 200;
    /** The number of refusals for lack of capacity after which no more servers are tried. */
    private static final int MAX_REFUSALS = 4;

    /** The estimated size of a prompt token in a request, in bytes. */
    private static final int PROMPT_TOKEN_BYTES = 5;

    /** The estimated size of an output token with its share of the frame, in bytes. */
    private static final int OUTPUT_TOKEN_BYTES = 16;

    private final DispatcherConfig config;
    private final RandomGenerator random;
    private final BackendTable table;
    private final StragglerDetector stragglers = new StragglerDetector();
    private final FirstTokenTimes firstTokens = new FirstTokenTimes();
    private final BackendChooser chooser;
    private final RetryBudget retryBudget;
    private final LinkBudget linkBudget;
    private final CustomerLimiter limiter = new CustomerLimiter();
    private final Map<RequestId, RequestState> requests = new LinkedHashMap<>();
    private int queued;

    /**
     * Creates a dispatcher without backend servers.
     *
     * @param config the settings, not null
     * @param random the source of random choices and delays, not null
     */
    public ReservationDispatcher(DispatcherConfig config, RandomGenerator random) {
        this.config = Arguments.notNull(config, "config");
        this.random = Arguments.notNull(random, "random");
        this.table = new BackendTable(config.region());
        this.chooser = new BackendChooser(config, table, random);
        this.linkBudget = new LinkBudget(config.linkBytesPerSecond());
        this.retryBudget = new RetryBudget(config.retryPercent());
    }

    /**
     * Returns the number of requests that wait for a start.
     *
     * @return the length of the queue
     */
    public int queued() {
        return queued;
    }

    /**
     * Returns the limiter of the customers' rates at this entry.
     *
     * @return the limiter, never null
     */
    public CustomerLimiter limits() {
        return limiter;
    }

    /**
     * Returns the bytes exchanged with other regions so far.
     *
     * @return the number of bytes
     */
    public long linkBytes() {
        return linkBudget.bytes();
    }

    /**
     * Returns the number of backend servers that are ejected as stragglers.
     *
     * @return the number of servers
     */
    public int ejected() {
        return (int) table.all().stream()
                .filter(b -> b.speed == BackendState.Speed.EJECTED)
                .count();
    }

    /**
     * Returns the number of requests that wait or run.
     *
     * @return the number of requests that this dispatcher knows
     */
    public int active() {
        return requests.size();
    }

    @Override
    public List<DispatchAction> watch(List<BackendDescriptor> descriptors, long nowMillis) {
        table.watch(Arguments.notNull(descriptors, "descriptors"));
        return List.of();
    }

    @Override
    public List<DispatchAction> submit(WorkItem work, long nowMillis) {
        List<DispatchAction> out = new ArrayList<>();
        if (requests.containsKey(work.request())) {
            return out;
        }
        if (!table.isServed(work)) {
            out.add(reject(work.request(), ErrorKind.NO_BACKEND, RunOutcome.NOT_RUN));
            return out;
        }
        if (nowMillis >= work.deadlineMillis()) {
            out.add(reject(work.request(), ErrorKind.DEADLINE_EXCEEDED, RunOutcome.NOT_RUN));
            return out;
        }
        if (queued >= config.maxQueued()) {
            out.add(reject(work.request(), ErrorKind.OVERLOADED, RunOutcome.NOT_RUN));
            return out;
        }
        long rateLimitMillis = limiter.admit(work.customer(), work.promptTokens(), nowMillis);
        if (rateLimitMillis > 0) {
            long retryAfter = withJitter(Math.max(config.retryAfterMillis(), rateLimitMillis));
            out.add(new DispatchAction.RejectCaller(
                    work.request(), ErrorKind.RATE_LIMITED, RunOutcome.NOT_RUN, retryAfter));
            return out;
        }
        RequestState s = new RequestState(work, nowMillis);
        requests.put(work.request(), s);
        retryBudget.firstAttempt();
        beginReserving(s);
        reserve(s, nowMillis, out);
        return out;
    }

    private void beginReserving(RequestState s) {
        s.nextAttempt();
        queued++;
    }

    private void reserve(RequestState s, long nowMillis, List<DispatchAction> out) {
        reserve(s, RESERVATIONS - s.reserved.size(), nowMillis, out);
        if (s.reserved.isEmpty()) {
            s.retryAtMillis = nowMillis + withJitter(config.reserveRetryMillis());
        }
    }

    private void reserve(RequestState s, int missing, long nowMillis, List<DispatchAction> out) {
        s.recheckAtMillis = nowMillis + RECHECK_MILLIS;
        if (missing <= 0) {
            return;
        }
        for (BackendState b : chooser.choose(s, missing, mayUseOtherRegions(s, nowMillis), nowMillis)) {
            s.reserved.add(b.backend);
            b.reserved(s.work, nowMillis);
            out.add(new DispatchAction.SendReserve(b.backend, s.reserving, s.work));
        }
    }

    private boolean mayUseOtherRegions(RequestState s, long nowMillis) {
        return linkBudget.hasRoom((long) s.work.promptTokens() * PROMPT_TOKEN_BYTES, nowMillis);
    }

    private void countLink(BackendId backend, long bytes, long nowMillis) {
        BackendState b = table.get(backend);
        if (b != null && b.descriptor != null && !b.descriptor.region().equals(config.region())) {
            linkBudget.count(bytes, nowMillis);
        }
    }

    @Override
    public List<DispatchAction> granted(
            BackendId backend, AttemptId attempt, GrantId grant, long validMillis, long nowMillis) {
        List<DispatchAction> out = new ArrayList<>();
        RequestState s = reservingState(attempt);
        if (s == null || !s.reserved.remove(backend)) {
            // A grant for an attempt that runs at the same server is a repeated frame; a cancellation would stop the
            // attempt.
            if (!isRunningAt(attempt, backend)) {
                out.add(new DispatchAction.SendCancel(backend, attempt));
            }
            return out;
        }
        for (BackendId other : s.takeReserved()) {
            out.add(new DispatchAction.SendCancel(other, attempt));
        }
        s.reserving = null;
        s.handOvers++;
        queued--;
        s.running.put(attempt, new RequestState.HandedOver(backend, nowMillis));
        countLink(backend, (long) s.work.promptTokens() * PROMPT_TOKEN_BYTES, nowMillis);
        out.add(new DispatchAction.SendStart(backend, attempt, grant, s.work));
        return out;
    }

    private RequestState reservingState(AttemptId attempt) {
        RequestState s = requests.get(attempt.request());
        return s != null && attempt.equals(s.reserving) ? s : null;
    }

    private RequestState runningState(AttemptId attempt) {
        RequestState s = requests.get(attempt.request());
        return s != null && s.running.containsKey(attempt) ? s : null;
    }

    private boolean isRunningAt(AttemptId attempt, BackendId backend) {
        RequestState s = runningState(attempt);
        return s != null && s.running.get(attempt).backend.equals(backend);
    }

    @Override
    public boolean isLive(AttemptId attempt) {
        return runningState(attempt) != null;
    }

    @Override
    public List<DispatchAction> refused(
            BackendId backend, AttemptId attempt, ErrorKind kind, long retryAfterMillis, long nowMillis) {
        List<DispatchAction> out = new ArrayList<>();
        BackendState b = table.get(backend);
        if (b != null && kind == ErrorKind.DRAINING) {
            b.isDraining = true;
        }
        RequestState s = reservingState(attempt);
        if (s != null && s.reserved.remove(backend)) {
            s.avoided.add(backend);
            if (kind == ErrorKind.OVERLOADED) {
                s.refusals++;
                s.retryAfterMillis = Math.max(s.retryAfterMillis, retryAfterMillis);
            }
            if (s.refusals < MAX_REFUSALS) {
                reserve(s, nowMillis, out);
            }
            rejectIfOverloaded(s, out);
            return out;
        }
        if (!isRunningAt(attempt, backend)) {
            return out;
        }
        // The start was refused, so the request has not run and the next attempt does not count as a retry.
        s = requests.get(attempt.request());
        s.running.remove(attempt);
        if (!s.running.isEmpty() || s.reserving != null) {
            return out;
        }
        if (s.handOvers >= config.maxAttempts()) {
            finish(s, out);
            out.add(reject(s.work.request(), ErrorKind.OVERLOADED, RunOutcome.NOT_RUN));
            return out;
        }
        if (kind != ErrorKind.GRANT_EXPIRED) {
            s.avoided.add(backend);
        }
        beginReserving(s);
        reserve(s, nowMillis, out);
        return out;
    }

    /** Rejects the request early if the servers that were asked expect a wait beyond its deadline or are full. */
    private void rejectIfOverloaded(RequestState s, List<DispatchAction> out) {
        boolean hasEnoughRefusals = s.refusals >= RESERVATIONS && s.reserved.isEmpty();
        if (hasEnoughRefusals && s.running.isEmpty()) {
            finish(s, out);
            long retryAfter = withJitter(Math.max(config.retryAfterMillis(), s.retryAfterMillis));
            RunOutcome outcome = s.handOvers == 0 ? RunOutcome.NOT_RUN : RunOutcome.UNKNOWN;
            out.add(new DispatchAction.RejectCaller(s.work.request(), ErrorKind.OVERLOADED, outcome, retryAfter));
        }
    }

    @Override
    public List<DispatchAction> tokens(AttemptId attempt, int count, long nowMillis) {
        List<DispatchAction> out = new ArrayList<>();
        RequestState s = runningState(attempt);
        if (s == null) {
            return out;
        }
        limiter.charge(s.work.customer(), count, nowMillis);
        countLink(s.running.get(attempt).backend, (long) count * OUTPUT_TOKEN_BYTES, nowMillis);
        if (!s.isDelivering) {
            s.isDelivering = true;
            firstTokens.add(nowMillis - s.running.get(attempt).startedMillis);
            cancelOthers(s, attempt, out);
        }
        return out;
    }

    private void cancelOthers(RequestState s, AttemptId winner, List<DispatchAction> out) {
        dropReservations(s, out);
        s.running.entrySet().removeIf(e -> {
            if (e.getKey().equals(winner)) {
                return false;
            }
            out.add(new DispatchAction.SendCancel(e.getValue().backend, e.getKey()));
            return true;
        });
    }

    private void dropReservations(RequestState s, List<DispatchAction> out) {
        if (s.reserving == null) {
            return;
        }
        for (BackendId b : s.takeReserved()) {
            out.add(new DispatchAction.SendCancel(b, s.reserving));
        }
        s.reserving = null;
        queued--;
    }

    private void finish(RequestState s, List<DispatchAction> out) {
        cancelOthers(s, null, out);
        requests.remove(s.work.request());
    }

    @Override
    public List<DispatchAction> ended(AttemptId attempt, long nowMillis) {
        List<DispatchAction> out = new ArrayList<>();
        RequestState s = runningState(attempt);
        if (s != null) {
            s.running.remove(attempt);
            finish(s, out);
        }
        return out;
    }

    @Override
    public List<DispatchAction> failed(
            AttemptId attempt, ErrorKind kind, RunOutcome outcome, boolean isDelivered, long nowMillis) {
        List<DispatchAction> out = new ArrayList<>();
        RequestState s = runningState(attempt);
        if (s == null) {
            return out;
        }
        RequestState.HandedOver h = s.running.remove(attempt);
        s.avoided.add(h.backend);
        boolean hasOtherAttempt = !s.running.isEmpty() || s.reserving != null;
        if (hasOtherAttempt && !isDelivered) {
            return out;
        }
        boolean mayRepeat = !isDelivered && (s.work.isRepeatable() || outcome == RunOutcome.NOT_RUN);
        if (mayRepeat && s.handOvers < config.maxAttempts() && retryBudget.tryRetry()) {
            s.isDelivering = false;
            s.deadlineMillis = Math.max(s.work.deadlineMillis(), nowMillis + config.rerunWaitMillis());
            s.waitingSinceMillis = nowMillis;
            beginReserving(s);
            reserve(s, nowMillis, out);
            return out;
        }
        finish(s, out);
        out.add(reject(s.work.request(), kind, outcome));
        return out;
    }

    @Override
    public List<DispatchAction> cancelled(RequestId request, long nowMillis) {
        List<DispatchAction> out = new ArrayList<>();
        RequestState s = requests.get(request);
        if (s != null) {
            finish(s, out);
        }
        return out;
    }

    @Override
    public List<DispatchAction> status(BackendStatus status, long nowMillis) {
        table.status(status, nowMillis);
        return List.of();
    }

    @Override
    public List<DispatchAction> lost(BackendId backend, long nowMillis) {
        List<DispatchAction> out = new ArrayList<>();
        BackendState b = table.get(backend);
        if (b != null) {
            b.lost();
        }
        for (RequestState s : requests.values()) {
            if (s.reserved.remove(backend)) {
                reserve(s, nowMillis, out);
            }
        }
        return out;
    }

    @Override
    public List<DispatchAction> tick(long nowMillis) {
        List<DispatchAction> out = new ArrayList<>();
        stragglers.check(table.all(), nowMillis);
        for (RequestState s : List.copyOf(requests.values())) {
            if (s.reserving == null) {
                considerHedging(s, nowMillis, out);
            } else if (nowMillis >= s.deadlineMillis) {
                expire(s, out);
            } else if (s.reserved.isEmpty() && nowMillis >= s.retryAtMillis) {
                s.avoided.clear();
                reserve(s, nowMillis, out);
            } else if (nowMillis >= s.recheckAtMillis) {
                reserveAtCheaperServer(s, nowMillis, out);
            }
        }
        return out;
    }

    /** Adds a reservation at a server that costs less than half of every server with a reservation. */
    private void reserveAtCheaperServer(RequestState s, long nowMillis, List<DispatchAction> out) {
        s.recheckAtMillis = nowMillis + RECHECK_MILLIS;
        if (s.reserved.size() >= MAX_RESERVATIONS) {
            return;
        }
        double lowest = Double.MAX_VALUE;
        for (BackendId id : s.reserved) {
            BackendState b = table.get(id);
            lowest = b == null ? lowest : Math.min(lowest, chooser.cost(b, s, nowMillis));
        }
        for (BackendState b : chooser.choose(s, 1, mayUseOtherRegions(s, nowMillis), nowMillis)) {
            if (chooser.cost(b, s, nowMillis) < lowest / 2) {
                s.reserved.add(b.backend);
                b.reserved(s.work, nowMillis);
                out.add(new DispatchAction.SendReserve(b.backend, s.reserving, s.work));
            }
        }
    }

    /** Starts a hedged attempt of repeatable work at another server if no token has arrived for unusually long. */
    private void considerHedging(RequestState s, long nowMillis, List<DispatchAction> out) {
        if (s.isDelivering || s.isHedged || !s.work.isRepeatable() || s.running.size() != 1) {
            return;
        }
        RequestState.HandedOver h = s.running.values().iterator().next();
        BackendState b = table.get(h.backend);
        boolean isSlow = b != null && b.speed == BackendState.Speed.EJECTED;
        if (nowMillis - h.startedMillis < firstTokens.hedgeDelayMillis(isSlow) || !retryBudget.tryRetry()) {
            return;
        }
        s.isHedged = true;
        s.deadlineMillis = Math.max(s.work.deadlineMillis(), nowMillis + config.rerunWaitMillis());
        beginReserving(s);
        reserve(s, nowMillis, out);
    }

    private void expire(RequestState s, List<DispatchAction> out) {
        dropReservations(s, out);
        if (s.running.isEmpty()) {
            finish(s, out);
            RunOutcome outcome = s.handOvers == 0 ? RunOutcome.NOT_RUN : RunOutcome.UNKNOWN;
            out.add(reject(s.work.request(), ErrorKind.DEADLINE_EXCEEDED, outcome));
        }
    }

    private DispatchAction reject(RequestId request, ErrorKind kind, RunOutcome outcome) {
        boolean isTransient = kind == ErrorKind.OVERLOADED
                || kind == ErrorKind.NO_BACKEND
                || kind == ErrorKind.DEADLINE_EXCEEDED
                || kind == ErrorKind.RATE_LIMITED;
        long retryAfter = isTransient ? withJitter(config.retryAfterMillis()) : 0;
        return new DispatchAction.RejectCaller(request, kind, outcome, retryAfter);
    }

    /** Returns a random delay of one to two times the given one, so that refused callers do not return all at once. */
    private long withJitter(long delayMillis) {
        return delayMillis + random.nextLong(delayMillis + 1);
    }
}
