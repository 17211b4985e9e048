package io.hornbeamscale.daemon;

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
 * @param store the platform's store, null if there is none
 * @param vmList the platform's VM list, null if there is none
 * @param document a document file to start from, null if there is none
 * @param maxHeaderBytes the greatest size of the headers of a request, in bytes
 * @param maxConnections the greatest number of callers' connections
 * @param log the form of log lines, {@code text} or {@code json}
 * @param storeRegion the region of the platform's store
 */
record EntrySettings(
        String node,
        String region,
        String zone,
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress frames,
        List<InetSocketAddress> peers,
        URI store,
        URI vmList,
        Path document,
        int maxHeaderBytes,
        int maxConnections,
        String log,
        String storeRegion) {
    /** Creates the settings of an entry in the region of the store. */
    EntrySettings(
            String node,
            String region,
            String zone,
            InetSocketAddress listen,
            InetSocketAddress admin,
            InetSocketAddress frames,
            List<InetSocketAddress> peers,
            URI store,
            URI vmList,
            Path document,
            int maxHeaderBytes,
            int maxConnections,
            String log) {
        this(
                node,
                region,
                zone,
                listen,
                admin,
                frames,
                peers,
                store,
                vmList,
                document,
                maxHeaderBytes,
                maxConnections,
                log,
                region);
    }
}
