package io.hornbeamscale.core.admission;

import io.hornbeamscale.core.util.Arguments;

/**
 * What is known of a stream when it asks for capacity.
 *
 * @param service the service whose servers can run it, not blank
 * @param route the name of the route, not null
 * @param customer the name of the customer, not null; empty if unknown, then fair shares do not apply
 * @param priority the priority, 0 is the most urgent
 * @param promptTokens the number of prompt tokens, not negative
 * @param expectedTokens the expected number of response tokens, not negative
 * @param arrivedAtMillis the arrival time, in milliseconds
 * @param objectiveMillis the objective for the time to the first event, in milliseconds, 0 if there is none
 * @param deadlineMillis the time at which the response must be complete, in milliseconds
 * @param isRepeat whether the caller repeats a refused request before the time of its {@code Retry-After}
 */
public record AdmissionRequest(
        String service,
        String route,
        String customer,
        int priority,
        long promptTokens,
        long expectedTokens,
        long arrivedAtMillis,
        long objectiveMillis,
        long deadlineMillis,
        boolean isRepeat) {
    /** The prompt tokens that a server processes per millisecond while it also generates responses. */
    public static final double PREFILL_TOKENS_PER_MILLI = 7;

    /** The response tokens that a server generates per millisecond for one response at a usual load. */
    private static final double RESPONSE_TOKENS_PER_MILLI = 0.14;

    /** The minimum expected length of a long response, in tokens; placement keeps memory free from here on. */
    private static final long LONG_RESPONSE_TOKENS = 100;

    /** The maximum wait as a share of the time until the deadline; the rest is needed for the response. */
    private static final double MAX_WAIT_DEADLINE_SHARE = 0.4;

    /**
     * The maximum wait as a multiple of the objective for the first event. Callers abandon streams without an event
     * after about four times the objective.
     */
    private static final long MAX_WAIT_OBJECTIVES = 2;

    /** Checks the parts. */
    public AdmissionRequest {
        Arguments.notBlank(service, "service");
        Arguments.notNull(route, "route");
        Arguments.notNull(customer, "customer");
        Arguments.notNegative(priority, "priority");
        Arguments.notNegative(promptTokens, "promptTokens");
        Arguments.notNegative(expectedTokens, "expectedTokens");
        Arguments.notNegative(objectiveMillis, "objectiveMillis");
    }

    /**
     * Returns the maximum remaining wait.
     *
     * @param nowMillis the present time
     * @return the time, in milliseconds; negative if the request has waited too long
     */
    public long maxWaitMillis(long nowMillis) {
        long byDeadline = (long) (MAX_WAIT_DEADLINE_SHARE * (deadlineMillis - nowMillis));
        if (objectiveMillis == 0) {
            return byDeadline;
        }
        return Math.min(byDeadline, MAX_WAIT_OBJECTIVES * objectiveMillis - (nowMillis - arrivedAtMillis));
    }

    /** Returns the memory that the request needs at its end, in tokens. */
    long memoryTokens() {
        return promptTokens + expectedTokens;
    }

    /** Returns how long the request is expected to occupy its memory, in milliseconds. */
    double durationMillis() {
        return promptTokens / PREFILL_TOKENS_PER_MILLI + expectedTokens / RESPONSE_TOKENS_PER_MILLI;
    }

    /** Returns the memory times the expected duration, in token milliseconds. */
    double work() {
        return memoryTokens() * durationMillis();
    }

    boolean isLong() {
        return expectedTokens >= LONG_RESPONSE_TOKENS;
    }

    /** Returns the latest time of placement at which the first event can meet the objective, in milliseconds. */
    long latestTimelyMillis() {
        return objectiveMillis == 0
                ? deadlineMillis
                : arrivedAtMillis + objectiveMillis - (long) (promptTokens / PREFILL_TOKENS_PER_MILLI);
    }
}
