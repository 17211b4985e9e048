/** The report of the demonstration. */
package io.hornbeamscale.daemon.demo;
