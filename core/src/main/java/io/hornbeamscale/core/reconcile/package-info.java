/** Brings the models, adapters and roles of engines to what the document asks for. */
package io.hornbeamscale.core.reconcile;
