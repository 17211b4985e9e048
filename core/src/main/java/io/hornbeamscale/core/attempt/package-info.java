/** The agent's record of grants and attempts, on which the outcome {@code not_run} rests. */
package io.hornbeamscale.core.attempt;
