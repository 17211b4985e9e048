/** Agent side: admission to one engine. */
package io.hornbeamscale.core.schedule;
