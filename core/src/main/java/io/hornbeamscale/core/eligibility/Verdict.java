package io.hornbeamscale.core.eligibility;

import java.util.Optional;

/**
 * Whether a server may get a request now.
 *
 * @param reason what forbids it, empty if it is allowed
 * @param earliestMillis the earliest time at which the answer may change, in milliseconds; {@link #UNKNOWN} if it does
 *     not depend on the time alone, 0 if the request is allowed
 */
public record Verdict(Optional<IneligibleReason> reason, long earliestMillis) {
    /** No time is known at which the answer may change. */
    public static final long UNKNOWN = Long.MAX_VALUE;

    /** The request is allowed. */
    public static final Verdict ALLOWED = new Verdict(Optional.empty(), 0);

    /**
     * Returns a verdict that forbids the request.
     *
     * @param reason what forbids it, not null
     * @param earliestMillis the earliest time at which the answer may change, in milliseconds, or {@link #UNKNOWN}
     * @return the verdict, never null
     */
    public static Verdict forbidden(IneligibleReason reason, long earliestMillis) {
        return new Verdict(Optional.of(reason), earliestMillis);
    }

    /**
     * Returns whether the request is allowed.
     *
     * @return whether nothing forbids it
     */
    public boolean isAllowed() {
        return reason.isEmpty();
    }

    /**
     * Returns whether the request may wait until it is allowed.
     *
     * @return whether a reason forbids it that ends by itself at a known time
     */
    public boolean isDeferred() {
        return reason.map(IneligibleReason::isTemporary).orElse(false);
    }

    /**
     * Returns how long the request has to wait.
     *
     * @param nowMillis the present time
     * @return the time, in milliseconds, 0 if it is allowed now
     */
    public long waitMillis(long nowMillis) {
        return Math.max(0, earliestMillis - nowMillis);
    }
}
