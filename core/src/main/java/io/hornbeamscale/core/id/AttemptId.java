package io.hornbeamscale.core.id;

import io.hornbeamscale.core.util.Arguments;

/**
 * Identifies one attempt to run a request. A request has at most one active hand-over to a backend server per attempt.
 *
 * @param request the request, not null
 * @param number the number of the attempt, from 1
 */
public record AttemptId(RequestId request, int number) {
    /** Checks the components. */
    public AttemptId {
        Arguments.notNull(request, "request");
        Arguments.positive(number, "number");
    }

    /**
     * Returns the id of the next attempt.
     *
     * @return the next attempt of the same request, never null
     */
    public AttemptId next() {
        return new AttemptId(request, number + 1);
    }

    @Override
    public String toString() {
        return request + "#" + number;
    }
}
