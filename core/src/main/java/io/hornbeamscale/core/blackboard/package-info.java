/** State that controllers on the control thread share. */
package io.hornbeamscale.core.blackboard;
