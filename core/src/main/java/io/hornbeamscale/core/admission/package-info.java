/** Admission of streams at an entry: who gets capacity next, how long a stream may wait, and when it is refused. */
package io.hornbeamscale.core.admission;
