/** Identifiers that processes exchange with each other. */
package io.hornbeamscale.core.id;
