/** Reconciles the models, adapters and roles of engines with the document. */
package io.hornbeamscale.core.reconcile;
