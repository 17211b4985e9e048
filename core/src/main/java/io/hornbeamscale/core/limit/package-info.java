/** Rate limits, shares of limits between entries, and budgets. */
package io.hornbeamscale.core.limit;
