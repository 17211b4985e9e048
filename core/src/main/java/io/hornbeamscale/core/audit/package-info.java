/** Publishing the document together with its audit trail, reading history, and batched audit events. */
package io.hornbeamscale.core.audit;
