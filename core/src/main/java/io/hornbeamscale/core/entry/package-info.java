/** The controller of an entry, which coordinates dispatch, claims and responses. */
package io.hornbeamscale.core.entry;
