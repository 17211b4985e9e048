/** State that controllers share on the control thread. */
package io.hornbeamscale.core.blackboard;
