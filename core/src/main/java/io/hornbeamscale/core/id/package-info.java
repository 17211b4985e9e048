/** Identifiers that processes exchange. */
package io.hornbeamscale.core.id;
