/** The departure of a process: no new work, no truncated responses, truthful outcomes at the limit. */
package io.hornbeamscale.core.drain;
