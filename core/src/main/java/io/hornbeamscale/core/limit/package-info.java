/** Rate limits that entries share, and budgets for retries and traffic between regions. */
package io.hornbeamscale.core.limit;
