package io.hornbeamscale.daemon;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;

/**
 * The settings of an agent process.
 *
 * @param backend the name of the backend server that the agent runs calls on
 * @param region the region
 * @param zone the availability zone
 * @param listen the address that entries connect to
 * @param admin the address of the admin server
 * @param server the URI of the backend server
 * @param kind the kind of the backend server, {@code model} or {@code plain}
 * @param memoryTokens the capacity of the engine's memory, in tokens
 * @param maxRunning the maximum number of concurrent requests
 * @param store the URI of the platform's store, null if there is none
 * @param document the file with the initial document, null if there is none
 * @param log the format of log lines, {@code text} or {@code json}
 */
record AgentSettings(
        String backend,
        String region,
        String zone,
        InetSocketAddress listen,
        InetSocketAddress admin,
        URI server,
        String kind,
        long memoryTokens,
        int maxRunning,
        URI store,
        Path document,
        String log) {
    boolean isPlain() {
        return kind.equals("plain");
    }
}
