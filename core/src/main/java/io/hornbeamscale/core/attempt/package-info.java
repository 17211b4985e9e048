/** Records of grants and attempts, from which the outcome {@code not_run} is derived. */
package io.hornbeamscale.core.attempt;
