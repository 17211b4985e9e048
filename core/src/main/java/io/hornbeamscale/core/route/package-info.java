/** The routes, services, limits and customers' keys that are in force at an entry. */
package io.hornbeamscale.core.route;
