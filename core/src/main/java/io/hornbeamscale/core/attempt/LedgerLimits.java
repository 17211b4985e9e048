package io.hornbeamscale.core.attempt;

import io.hornbeamscale.core.util.Arguments;

/**
 * Limits of an attempt ledger.
 *
 * @param maxGrantMillis the longest time for which a grant can be used, in milliseconds
 * @param windowGrants the number of latest grants whose use is remembered, one bit each
 * @param maxEnded the number of ended attempts whose state is remembered
 */
public record LedgerLimits(long maxGrantMillis, int windowGrants, int maxEnded) {
    /** Checks the parts. */
    public LedgerLimits {
        Arguments.positive(maxGrantMillis, "maxGrantMillis");
        Arguments.positive(windowGrants, "windowGrants");
        Arguments.notNegative(maxEnded, "maxEnded");
    }

    /**
     * Returns limits that cover 11 hours at 100 grants per second in 512 KB.
     *
     * @return the limits, never null
     */
    public static LedgerLimits standard() {
        return new LedgerLimits(10_000, 1 << 22, 20_000);
    }
}
