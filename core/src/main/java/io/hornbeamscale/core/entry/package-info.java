/** Composes the decisions of an entry. */
package io.hornbeamscale.core.entry;
