/** Calls to the platform's store and the replies, as values: controllers return calls and receive replies. */
package io.hornbeamscale.core.store;
