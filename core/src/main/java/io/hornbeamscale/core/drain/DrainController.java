package io.hornbeamscale.core.drain;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Leads a process from the first sign of its departure to its exit. New work stops with the first sign; leaving is
 * irreversible. Responses finish within the operators' limit. After a reclaim notice, work whose predicted remainder
 * exceeds the remaining time is given up at once, so that the rest of the batch runs faster. Every method returns the
 * actions to carry out, never null. Not safe for use by several threads.
 */
public final class DrainController {
    /** The time kept free before a reclaim for the last frames to leave, in milliseconds. */
    static final long RECLAIM_MARGIN_MILLIS = 500;

    private final long drainMillis;
    private final boolean isResumableElsewhere;
    private final Set<AttemptId> givenUp = new HashSet<>();
    private boolean isDraining;
    private boolean isReclaimed;
    private boolean isOver;
    private boolean isComplete = true;
    private long drainStartMillis;
    private long deadlineMillis = Long.MAX_VALUE;

    /**
     * Creates a controller of a process that stays, whose streams are lost with it.
     *
     * @param drainMillis the operators' limit for a graceful stop, in milliseconds
     */
    public DrainController(long drainMillis) {
        this(drainMillis, false);
    }

    /**
     * Creates a controller of a process that stays.
     *
     * @param drainMillis the operators' limit for a graceful stop, in milliseconds
     * @param isResumableElsewhere whether callers can resume streams at another process, as is the case for an entry;
     *     such streams end with {@code draining} instead of {@code generation_lost} at the limit
     */
    public DrainController(long drainMillis, boolean isResumableElsewhere) {
        this.drainMillis = Arguments.notNegative(drainMillis, "drainMillis");
        this.isResumableElsewhere = isResumableElsewhere;
    }

    /**
     * Handles a sign without a time limit of its own.
     *
     * @param sign the sign, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<DrainAction> leaving(DrainReason sign, long nowMillis) {
        return begin(Arguments.notNull(sign, "sign"), nowMillis + drainMillis, nowMillis);
    }

    /**
     * Handles a reclaim notice. The operators' limit still applies if it ends earlier.
     *
     * @param noticeMillis the time until the VM is taken away, in milliseconds
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<DrainAction> reclaim(long noticeMillis, long nowMillis) {
        long usableMillis = Math.max(0, noticeMillis - RECLAIM_MARGIN_MILLIS);
        isReclaimed = true;
        return begin(DrainReason.RECLAIM_NOTICE, nowMillis + Math.min(usableMillis, drainMillis), nowMillis);
    }

    /**
     * Decides about the work that still runs. Called on every tick while the process is draining.
     *
     * @param running the responses in progress, not null
     * @param unacknowledged the number of ended responses that no peer has received in full
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<DrainAction> progress(List<RunningWork> running, int unacknowledged, long nowMillis) {
        Arguments.notNull(running, "running");
        List<DrainAction> actions = new ArrayList<>();
        if (!isDraining || isOver) {
            return actions;
        }
        long leftMillis = deadlineMillis - nowMillis;
        boolean isLate = leftMillis <= 0;
        if (running.isEmpty() && (isLate || unacknowledged == 0)) {
            isOver = true;
            actions.add(new DrainAction.Exit(isComplete && unacknowledged == 0));
            return actions;
        }
        for (RunningWork work : running) {
            if (isLate || isHopeless(work, leftMillis)) {
                giveUp(work, actions);
            }
        }
        if (isLate && actions.isEmpty()) {
            isOver = true;
            actions.add(new DrainAction.Exit(false));
        }
        return actions;
    }

    /**
     * Returns whether the process refuses new work.
     *
     * @return whether a sign was seen
     */
    public boolean isDraining() {
        return isDraining;
    }

    /**
     * Returns when the first sign was seen.
     *
     * @return the time in milliseconds, 0 before any sign
     */
    public long drainStartMillis() {
        return drainStartMillis;
    }

    private List<DrainAction> begin(DrainReason sign, long limitMillis, long nowMillis) {
        deadlineMillis = Math.min(deadlineMillis, limitMillis);
        if (isDraining) {
            return List.of();
        }
        isDraining = true;
        drainStartMillis = nowMillis;
        return List.of(new DrainAction.StopNewWork(), new DrainAction.Announce(sign));
    }

    /** A call that must not be repeated is never given up early, since it may still return its result. */
    private boolean isHopeless(RunningWork work, long leftMillis) {
        return isReclaimed && work.isRepeatable() && work.remainingMillis() > leftMillis;
    }

    private void giveUp(RunningWork work, List<DrainAction> actions) {
        if (!givenUp.add(work.attempt())) {
            return;
        }
        if (work.isRepeatable() && !work.isDelivered()) {
            actions.add(new DrainAction.RunElsewhere(work.attempt()));
            return;
        }
        isComplete = false;
        if (work.isRepeatable()) {
            actions.add(new DrainAction.EndWork(work.attempt(), lostKind(), RunOutcome.RAN, work.offset()));
        } else {
            actions.add(new DrainAction.EndWork(
                    work.attempt(), ErrorKind.OUTCOME_UNKNOWN, RunOutcome.UNKNOWN, work.offset()));
        }
    }

    private ErrorKind lostKind() {
        return isResumableElsewhere ? ErrorKind.DRAINING : ErrorKind.GENERATION_LOST;
    }
}
