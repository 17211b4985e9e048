/** The controller of an agent, which coordinates scheduling, attempts and retained output. */
package io.hornbeamscale.core.agent;
