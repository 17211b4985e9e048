/** The {@code config} subcommand: reading, validating, comparing and publishing the operators' document. */
package io.hornbeamscale.daemon.config;
