package io.hornbeamscale.daemon;

import io.hornbeamscale.core.document.BackendSpec;
import io.hornbeamscale.core.document.CustomerSpec;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.ModelSpec;
import io.hornbeamscale.core.document.RegionSpec;
import io.hornbeamscale.core.document.ServiceKind;
import io.hornbeamscale.core.document.ServiceSpec;
import io.hornbeamscale.core.document.Sha256;
import io.hornbeamscale.core.document.WorkKindSpec;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;

/** An entry and an agent that run in this process in front of an engine, for benchmarks. */
public final class LocalDeployment implements AutoCloseable {
    /** The API key that callers present. */
    public static final String API_KEY = "sk-local-0123456789";

    /** The model that the engine serves. */
    public static final String MODEL = "teller";

    private static final long POLL_INTERVAL_MILLIS = 5;
    private static final int MEMORY_TOKENS = 500_000_000;

    private final AgentDaemon agent;
    private final EntryDaemon entry;
    private final InetSocketAddress address;

    /**
     * Starts the daemons and waits until the entry has received the status of the agent.
     *
     * @param engine the address of the engine, not null
     * @param maxRunning the maximum number of concurrent requests
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public LocalDeployment(InetSocketAddress engine, int maxRunning) throws InterruptedException {
        LogConfiguration.configureErrorsOnly();
        InetSocketAddress free = Addresses.loopback(0);
        URI server = URI.create("http://" + Addresses.format(engine));
        agent = new AgentDaemon(new AgentSettings(
                "runner",
                "local",
                "local-a",
                free,
                free,
                server,
                "model",
                MEMORY_TOKENS,
                maxRunning,
                null,
                null,
                "text"));
        String agentAddress = Addresses.format(agent.start());
        entry = new EntryDaemon(new EntrySettings(
                "entry", "local", "local-a", free, free, free, List.of(), "local", null, null, null, null, 32 * 1024,
                100_000, "text"));
        address = entry.start();
        entry.setDocument(document(agentAddress, maxRunning));
        while (entry.knownAgents() == 0) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /**
     * Returns the address for callers.
     *
     * @return the address, never null
     */
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public void close() {
        entry.close();
        agent.close();
    }

    private static Document document(String agentAddress, int maxRunning) {
        BackendSpec backend = new BackendSpec(
                "runner", "texts", "local", "local-a", agentAddress, MODEL, MEMORY_TOKENS, maxRunning, true, false);
        CustomerSpec customer =
                new CustomerSpec("local", List.of(Sha256.hex(API_KEY)), List.of("texts"), 1, 1_000_000, 1_000_000_000);
        return new Document(
                List.of(new ServiceSpec("texts", ServiceKind.MODEL, List.of(MODEL), List.of(), false)),
                List.of(customer),
                List.of(new ModelSpec(MODEL, "1", List.of(), 20_000, 100)),
                List.of(new WorkKindSpec("normal", 5, 60_000)),
                List.of(backend),
                List.of(new RegionSpec("local", List.of("local-a"), 2_500_000)),
                null);
    }
}
