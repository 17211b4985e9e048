package io.hornbeamscale.daemon;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;

/**
 * The settings of an agent.
 *
 * @param backend the name of the backend server
 * @param region the region
 * @param zone the availability zone
 * @param listen the address for entries
 * @param admin the address for metrics and health
 * @param server the backend server
 * @param kind the kind of the backend server, {@code model} or {@code plain}
 * @param memoryTokens the engine's memory in tokens
 * @param maxRunning the greatest number of requests that run at once
 * @param store the platform's store, null if there is none
 * @param document a document file to start from, null if there is none
 * @param log the form of log lines, {@code text} or {@code json}
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
