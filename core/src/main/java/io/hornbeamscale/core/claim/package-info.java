/** At-most-once execution of keyed calls by claims in the platform's store. */
package io.hornbeamscale.core.claim;
