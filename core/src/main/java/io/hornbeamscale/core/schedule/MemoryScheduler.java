package io.hornbeamscale.core.schedule;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.EngineLoad;
import io.hornbeamscale.core.work.Reservation;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Grants reservations while the engine's memory and the bound of running requests allow. */
public final class MemoryScheduler implements EngineScheduler {
    private static final long RETRY_MILLIS = 250;

    private final SchedulerConfig config;
    private final Map<AttemptId, Reservation> waiting = new LinkedHashMap<>();
    private final Map<AttemptId, Held> held = new LinkedHashMap<>();
    private long usedTokens;
    private long grants;
    private boolean isDraining;

    /**
     * Creates a scheduler without work.
     *
     * @param config the settings, not null
     */
    public MemoryScheduler(SchedulerConfig config) {
        this.config = Arguments.notNull(config, "config");
    }

    @Override
    public List<ScheduleAction> reserve(Reservation reservation, long nowMillis) {
        AttemptId attempt = reservation.attempt();
        if (isDraining) {
            return List.of(refuse(reservation, ErrorKind.DRAINING, 0));
        }
        if (held.containsKey(attempt) || waiting.containsKey(attempt)) {
            return List.of();
        }
        if (waiting.size() >= config.maxWaiting() || !canEverFit(reservation)) {
            return List.of(refuse(reservation, ErrorKind.OVERLOADED, RETRY_MILLIS));
        }
        waiting.put(attempt, reservation);
        return grant(nowMillis);
    }

    private boolean canEverFit(Reservation r) {
        return config.capacityTokens() == 0 || r.work().promptTokens() < config.capacityTokens();
    }

    private static ScheduleAction refuse(Reservation r, ErrorKind kind, long retryAfterMillis) {
        return new ScheduleAction.SendRefuse(r.entry(), r.attempt(), kind, retryAfterMillis);
    }

    private List<ScheduleAction> grant(long nowMillis) {
        List<ScheduleAction> out = new ArrayList<>();
        Iterator<Reservation> it = waiting.values().iterator();
        while (it.hasNext()) {
            Reservation r = it.next();
            if (!fits(r)) {
                break;
            }
            it.remove();
            out.add(issue(r, nowMillis));
        }
        return out;
    }

    private boolean fits(Reservation r) {
        if (held.size() >= config.maxRunning()) {
            return false;
        }
        return config.capacityTokens() == 0
                || usedTokens + r.work().promptTokens() < config.capacityTokens()
                || held.isEmpty();
    }

    private ScheduleAction issue(Reservation r, long nowMillis) {
        grants++;
        GrantId grant = new GrantId(config.incarnation(), grants);
        Held h = new Held(r, grant, nowMillis + config.grantMillis());
        held.put(r.attempt(), h);
        usedTokens += h.tokens;
        return new ScheduleAction.SendGrant(r.entry(), r.attempt(), grant, config.grantMillis());
    }

    @Override
    public List<ScheduleAction> cancel(AttemptId attempt, long nowMillis) {
        waiting.remove(attempt);
        Held h = held.get(attempt);
        if (h != null && !h.isStarted) {
            release(attempt);
        }
        return grant(nowMillis);
    }

    private void release(AttemptId attempt) {
        Held h = held.remove(attempt);
        if (h != null) {
            usedTokens -= h.tokens;
        }
    }

    @Override
    public boolean start(AttemptId attempt, GrantId grant, long nowMillis) {
        Held h = held.get(attempt);
        if (h == null || h.isStarted || !h.grant.equals(grant) || nowMillis >= h.expiresMillis) {
            return false;
        }
        h.isStarted = true;
        return true;
    }

    @Override
    public List<ScheduleAction> tokens(AttemptId attempt, int count, long nowMillis) {
        Held h = held.get(attempt);
        if (h != null) {
            h.tokens += count;
            usedTokens += count;
        }
        return List.of();
    }

    @Override
    public List<ScheduleAction> preempted(AttemptId attempt, long nowMillis) {
        return List.of();
    }

    @Override
    public List<ScheduleAction> ended(AttemptId attempt, boolean isComplete, long nowMillis) {
        release(attempt);
        return grant(nowMillis);
    }

    @Override
    public List<ScheduleAction> load(EngineLoad load, long nowMillis) {
        return List.of();
    }

    @Override
    public List<ScheduleAction> drain(long nowMillis) {
        isDraining = true;
        List<ScheduleAction> out = new ArrayList<>();
        for (Reservation r : waiting.values()) {
            out.add(refuse(r, ErrorKind.DRAINING, 0));
        }
        waiting.clear();
        return out;
    }

    @Override
    public List<ScheduleAction> tick(long nowMillis) {
        List<ScheduleAction> out = new ArrayList<>();
        for (Held h : List.copyOf(held.values())) {
            if (!h.isStarted && nowMillis >= h.expiresMillis) {
                release(h.reservation.attempt());
            }
        }
        waiting.values().removeIf(r -> {
            if (nowMillis < r.work().deadlineMillis()) {
                return false;
            }
            out.add(refuse(r, ErrorKind.DEADLINE_EXCEEDED, 0));
            return true;
        });
        out.addAll(grant(nowMillis));
        return out;
    }

    @Override
    public BackendStatus status(long nowMillis) {
        return new BackendStatus(
                config.backend(),
                config.incarnation(),
                config.capacityTokens(),
                usedTokens,
                held.size(),
                waiting.size(),
                0,
                0,
                isDraining,
                Set.of());
    }

    /** A granted or running attempt. */
    private static final class Held {
        final Reservation reservation;
        final GrantId grant;
        final long expiresMillis;
        long tokens;
        boolean isStarted;

        Held(Reservation reservation, GrantId grant, long expiresMillis) {
            this.reservation = reservation;
            this.grant = grant;
            this.expiresMillis = expiresMillis;
            this.tokens = reservation.work().promptTokens();
        }
    }
}
