/** At-most-once execution of calls with an idempotency key, by claims in the platform's store. */
package io.hornbeamscale.core.claim;
