/** The kinds of errors and the responses to which they are mapped. */
package io.hornbeamscale.core.error;
