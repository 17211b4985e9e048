/** Benchmarks of the whole path; they are programs, not tests. */
package io.hornbeamscale.daemon.bench;
