package io.hornbeamscale.daemon;

import io.hornbeamscale.console.ConsoleSettings;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings of an entry.
 *
 * @param node the node id
 * @param region the region
 * @param zone the availability zone
 * @param listen the address for callers
 * @param admin the address for metrics and health
 * @param frames the address for other entries
 * @param peers the frame addresses of other entries
 * @param storeRegion the region of the platform's store
 * @param console the sign-ins of the console, null if the console is off
 * @param store the platform's store, null if there is none
 * @param vmList the platform's VM list, null if there is none
 * @param document a document file to start from, null if there is none
 * @param maxHeaderBytes the greatest size of the headers of a request, in bytes
 * @param maxConnections the greatest number of callers' connections
 * @param log the form of log lines, {@code text} or {@code json}
 */
record EntrySettings(
        String node,
        String region,
        String zone,
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress frames,
        List<InetSocketAddress> peers,
        String storeRegion,
        ConsoleSettings console,
        URI store,
        URI vmList,
        Path document,
        int maxHeaderBytes,
        int maxConnections,
        String log) {}
