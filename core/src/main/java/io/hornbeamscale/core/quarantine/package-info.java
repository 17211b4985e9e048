/** Requests that crash backend servers: suspects run alone, convicted requests are refused everywhere. */
package io.hornbeamscale.core.quarantine;
