/** Decides which backend servers may take a request now, and what forbids the others. */
package io.hornbeamscale.core.eligibility;
