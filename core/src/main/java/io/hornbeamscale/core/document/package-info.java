/** The operators' configuration document, which describes the desired state of all services. */
package io.hornbeamscale.core.document;
