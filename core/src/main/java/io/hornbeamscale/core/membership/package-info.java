/** Membership: which processes exist, which of them are leaving, and which are responsible for shared tasks. */
package io.hornbeamscale.core.membership;
