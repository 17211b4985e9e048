/** Calls to the platform's store and their replies, as values; controllers emit calls and receive replies. */
package io.hornbeamscale.core.store;
