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
 * Controls the graceful stop of a process from the first drain reason to its exit. New work is refused from the first
 * reason on; a drain cannot be undone. Responses finish within the operators' limit. After a reclaim notice, work whose
 * predicted remaining time exceeds the time left is ended at once, so that the rest of the batch runs faster. Every
 * method returns the actions to carry out, never null. Not safe for use by several threads.
 */
public final class DrainController {
    /** The time reserved before a reclaim for sending the last frames, in milliseconds. */
    static final long RECLAIM_MARGIN_MILLIS = 500;

    private final long drainMillis;
    private final boolean isResumableElsewhere;
    private final Set<AttemptId> givenUp = new HashSet<>();
    private boolean isDraining;
    private boolean isReclaimed;
    private boolean hasExited;
    private boolean isComplete = true;
    private long drainStartMillis;
    private long deadlineMillis = Long.MAX_VALUE;

    /**
     * Creates a controller of a process that is not draining and whose streams are lost when it exits.
     *
     * @param drainMillis the operators' limit for a graceful stop, in milliseconds
     */
    public DrainController(long drainMillis) {
        this(drainMillis, false);
    }

    /**
     * Creates a controller of a process that is not draining.
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
     * Handles a drain reason that has no time limit of its own.
     *
     * @param reason the reason, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<DrainAction> leaving(DrainReason reason, long nowMillis) {
        return begin(Arguments.notNull(reason, "reason"), nowMillis + drainMillis, nowMillis);
    }

    /**
     * Handles a reclaim notice. The operators' limit still applies if it is shorter.
     *
     * @param noticeMillis the time until the VM is reclaimed, in milliseconds
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<DrainAction> reclaim(long noticeMillis, long nowMillis) {
        long usableMillis = Math.max(0, noticeMillis - RECLAIM_MARGIN_MILLIS);
        isReclaimed = true;
        return begin(DrainReason.RECLAIM_NOTICE, nowMillis + Math.min(usableMillis, drainMillis), nowMillis);
    }

    /**
     * Decides which running work is ended and whether the process exits. Called on every tick while the process is
     * draining.
     *
     * @param running the responses in progress, not null
     * @param unacknowledged the number of ended responses that no peer has received completely
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<DrainAction> progress(List<RunningWork> running, int unacknowledged, long nowMillis) {
        Arguments.notNull(running, "running");
        List<DrainAction> actions = new ArrayList<>();
        if (!isDraining || hasExited) {
            return actions;
        }
        long timeLeftMillis = deadlineMillis - nowMillis;
        boolean isLate = timeLeftMillis <= 0;
        if (running.isEmpty() && (isLate || unacknowledged == 0)) {
            hasExited = true;
            actions.add(new DrainAction.Exit(isComplete && unacknowledged == 0));
            return actions;
        }
        for (RunningWork work : running) {
            if (isLate || hasTooLittleTime(work, timeLeftMillis)) {
                giveUp(work, actions);
            }
        }
        if (isLate && actions.isEmpty()) {
            hasExited = true;
            actions.add(new DrainAction.Exit(false));
        }
        return actions;
    }

    /**
     * Returns whether the process refuses new work.
     *
     * @return whether a drain reason was given
     */
    public boolean isDraining() {
        return isDraining;
    }

    /**
     * Returns when the drain began.
     *
     * @return the time in milliseconds, 0 if the process is not draining
     */
    public long drainStartMillis() {
        return drainStartMillis;
    }

    private List<DrainAction> begin(DrainReason reason, long limitMillis, long nowMillis) {
        deadlineMillis = Math.min(deadlineMillis, limitMillis);
        if (isDraining) {
            return List.of();
        }
        isDraining = true;
        drainStartMillis = nowMillis;
        return List.of(new DrainAction.StopNewWork(), new DrainAction.Announce(reason));
    }

    /** A call that must not be repeated is never ended early, because it may still return its result. */
    private boolean hasTooLittleTime(RunningWork work, long timeLeftMillis) {
        return isReclaimed && work.isRepeatable() && work.remainingMillis() > timeLeftMillis;
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
            actions.add(new DrainAction.EndWork(work.attempt(), streamEndKind(), RunOutcome.RAN, work.offset()));
        } else {
            actions.add(new DrainAction.EndWork(
                    work.attempt(), ErrorKind.OUTCOME_UNKNOWN, RunOutcome.UNKNOWN, work.offset()));
        }
    }

    private ErrorKind streamEndKind() {
        return isResumableElsewhere ? ErrorKind.DRAINING : ErrorKind.GENERATION_LOST;
    }
}
