/** Which processes exist, which of them are leaving, and who is responsible for shared tasks. */
package io.hornbeamscale.core.membership;
