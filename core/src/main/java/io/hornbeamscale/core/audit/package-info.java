/** Publishes the document together with its audit trail, reads its history, and writes audit events in batches. */
package io.hornbeamscale.core.audit;
