/** The graceful stop of a process: no new work, no truncated responses, and correct outcomes at the time limit. */
package io.hornbeamscale.core.drain;
