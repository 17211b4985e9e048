/** The messages between processes, one record for each type. */
package io.hornbeamscale.wire.message;
