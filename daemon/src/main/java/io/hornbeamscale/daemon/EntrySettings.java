package io.hornbeamscale.daemon;

import io.hornbeamscale.console.ConsoleSettings;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings of an entry process.
 *
 * @param node the node id
 * @param region the region
 * @param zone the availability zone
 * @param listen the address that callers connect to
 * @param admin the address of the admin server
 * @param frames the address that other entries connect to
 * @param peers the frame addresses of other entries
 * @param storeRegion the region of the platform's store
 * @param console the console's operators and session secret, null if the console is disabled
 * @param store the URI of the platform's store, null if there is none
 * @param vmList the URI of the platform's VM list, null if there is none
 * @param document the file with the initial document, null if there is none
 * @param maxHeaderBytes the maximum size of all headers of a request, in bytes
 * @param maxConnections the maximum number of open connections from callers
 * @param log the format of log lines, {@code text} or {@code json}
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
