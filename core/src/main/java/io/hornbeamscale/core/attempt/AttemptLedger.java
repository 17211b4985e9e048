package io.hornbeamscale.core.attempt;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.util.Arguments;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records which attempts an agent has started. A start is accepted only if it names an open grant of this incarnation:
 * one that was issued to the same attempt and is unexpired, unused and not revoked. A grant that is not open is refused
 * permanently, so a revocation only closes the grant and needs no record of its own. Every method returns the actions
 * to carry out, never null. Not safe for use by several threads.
 */
public final class AttemptLedger {
    private final long incarnation;
    private final LedgerLimits limits;
    private final Map<Long, OpenGrant> openGrants = new LinkedHashMap<>();
    private final Map<Long, AttemptId> runningAttempts = new LinkedHashMap<>();
    private final Map<Long, AttemptId> ended = new LinkedHashMap<>();
    private final SequenceWindow started;
    private boolean isDraining;

    /**
     * Creates an empty ledger.
     *
     * @param incarnation the incarnation of the agent
     * @param limits the limits, not null
     */
    public AttemptLedger(long incarnation, LedgerLimits limits) {
        this.incarnation = incarnation;
        this.limits = Arguments.notNull(limits, "limits");
        started = new SequenceWindow(limits.windowGrants());
    }

    /**
     * Opens a grant. Grants must be issued with rising sequence numbers.
     *
     * @param attempt the attempt that may start, not null
     * @param grant the grant, of this incarnation
     * @param validMillis how long it may be used, in milliseconds
     * @param nowMillis the present time
     * @return whether the grant was opened; false while draining, in which case it must not be sent
     */
    public boolean granted(AttemptId attempt, GrantId grant, long validMillis, long nowMillis) {
        Arguments.notNull(attempt, "attempt");
        if (grant.incarnation() != incarnation || started.isCovered(grant.sequence())) {
            throw new IllegalArgumentException("grant must be new and of incarnation " + incarnation + ": " + grant);
        }
        started.advanceTo(grant.sequence());
        if (isDraining) {
            return false;
        }
        long expiresMillis = nowMillis + Math.min(validMillis, limits.maxGrantMillis());
        openGrants.put(grant.sequence(), new OpenGrant(attempt, expiresMillis));
        return true;
    }

    /**
     * Handles the hand-over of a request.
     *
     * @param attempt the attempt, not null
     * @param grant the grant named by the request, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<LedgerAction> start(AttemptId attempt, GrantId grant, long nowMillis) {
        if (grant.incarnation() != incarnation) {
            // Another incarnation of the agent may have run an earlier copy of this request.
            return refuse(attempt, grant, ErrorKind.GRANT_EXPIRED, RunOutcome.UNKNOWN);
        }
        long sequence = grant.sequence();
        if (started.contains(sequence)) {
            return List.of(new LedgerAction.ReportState(attempt, grant, stateOf(attempt, sequence)));
        }
        if (!started.isCovered(sequence)) {
            return refuse(attempt, grant, ErrorKind.GRANT_EXPIRED, RunOutcome.UNKNOWN);
        }
        OpenGrant openGrant = openGrants.get(sequence);
        if (openGrant == null || !openGrant.attempt().equals(attempt) || openGrant.expiresMillis() <= nowMillis) {
            return refuse(attempt, grant, ErrorKind.GRANT_EXPIRED, RunOutcome.NOT_RUN);
        }
        openGrants.remove(sequence);
        started.add(sequence);
        runningAttempts.put(sequence, attempt);
        return List.of(new LedgerAction.Run(attempt, grant));
    }

    /**
     * Undoes a start because the backend server did not receive the request, for example because the connection was
     * refused. The grant cannot be used again.
     *
     * @param attempt the attempt, not null
     * @param grant the grant, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<LedgerAction> undoStart(AttemptId attempt, GrantId grant, long nowMillis) {
        if (grant.incarnation() != incarnation || !runningAttempts.remove(grant.sequence(), attempt)) {
            return List.of();
        }
        started.remove(grant.sequence());
        return refuse(attempt, grant, ErrorKind.NO_BACKEND, RunOutcome.NOT_RUN);
    }

    /**
     * Records the end of an attempt, whether complete or failed.
     *
     * @param attempt the attempt, not null
     * @param grant the grant that it used, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<LedgerAction> ended(AttemptId attempt, GrantId grant, long nowMillis) {
        if (grant.incarnation() == incarnation && runningAttempts.remove(grant.sequence(), attempt)) {
            ended.put(grant.sequence(), attempt);
            Iterator<Long> oldestFirst = ended.keySet().iterator();
            while (ended.size() > limits.maxEnded() && oldestFirst.hasNext()) {
                oldestFirst.next();
                oldestFirst.remove();
            }
        }
        return List.of();
    }

    /**
     * Revokes an attempt, or reports its state if it has started. The answer {@code NEVER_STARTED} is given only for a
     * grant of this incarnation that was issued and not used; the grant is closed, so a later start is refused.
     *
     * @param attempt the attempt, not null
     * @param grant the grant named by the claim or the start, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<LedgerAction> revoke(AttemptId attempt, GrantId grant, long nowMillis) {
        AttemptState state = AttemptState.FORGOTTEN;
        if (grant.incarnation() == incarnation && started.isCovered(grant.sequence())) {
            OpenGrant openGrant = openGrants.get(grant.sequence());
            if (openGrant != null && openGrant.attempt().equals(attempt)) {
                openGrants.remove(grant.sequence());
            }
            state = stateOf(attempt, grant.sequence());
        }
        return List.of(new LedgerAction.AnswerRevoke(attempt, grant, state == AttemptState.NEVER_STARTED, state));
    }

    /**
     * Closes the grants of an attempt that its entry cancelled or the scheduler withdrew.
     *
     * @param attempt the attempt, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<LedgerAction> cancelled(AttemptId attempt, long nowMillis) {
        openGrants.values().removeIf(openGrant -> openGrant.attempt().equals(attempt));
        return List.of();
    }

    /**
     * Closes all grants and opens no more.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<LedgerAction> drain(long nowMillis) {
        isDraining = true;
        openGrants.clear();
        return List.of();
    }

    /**
     * Drops expired grants.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<LedgerAction> tick(long nowMillis) {
        openGrants.values().removeIf(openGrant -> openGrant.expiresMillis() <= nowMillis);
        return List.of();
    }

    /**
     * Returns the number of open grants.
     *
     * @return the count
     */
    public int openGrants() {
        return openGrants.size();
    }

    /**
     * Returns the number of running attempts.
     *
     * @return the count
     */
    public int runningAttempts() {
        return runningAttempts.size();
    }

    private AttemptState stateOf(AttemptId attempt, long sequence) {
        if (!started.contains(sequence)) {
            return AttemptState.NEVER_STARTED;
        }
        if (attempt.equals(runningAttempts.get(sequence))) {
            return AttemptState.RUNNING;
        }
        return attempt.equals(ended.get(sequence)) ? AttemptState.ENDED : AttemptState.FORGOTTEN;
    }

    private static List<LedgerAction> refuse(AttemptId attempt, GrantId grant, ErrorKind kind, RunOutcome outcome) {
        return List.of(new LedgerAction.RefuseStart(attempt, grant, kind, outcome));
    }

    private record OpenGrant(AttemptId attempt, long expiresMillis) {}
}
