/** The operators' document: the desired state of all services. */
package io.hornbeamscale.core.document;
