/**
 * Quarantine of requests that crash backend servers: suspects do not run together, quarantined requests are refused.
 */
package io.hornbeamscale.core.quarantine;
