/** The operators' document: the whole truth of what should run. */
package io.hornbeamscale.core.document;
