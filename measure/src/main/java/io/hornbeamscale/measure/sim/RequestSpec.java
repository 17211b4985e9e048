package io.hornbeamscale.measure.sim;

import io.hornbeamscale.core.work.WorkItem;

/**
 * A generated request of a scenario.
 *
 * @param work the request as the controllers see it
 * @param arrivalMicros the arrival time in microseconds
 * @param entry the index of the entry that receives it
 * @param outputTokens the number of tokens that will be emitted, unknown to the controllers
 * @param prefixTokens the number of prompt tokens that it shares with its customer's other requests
 * @param isShort whether it belongs to the short kind of work
 * @param isMeasured whether it is included in the figures
 */
record RequestSpec(
        WorkItem work,
        long arrivalMicros,
        int entry,
        int outputTokens,
        int prefixTokens,
        boolean isShort,
        boolean isMeasured) {}
