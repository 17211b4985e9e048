package io.hornbeamscale.measure.sim;

/** A simulated entry, which receives requests and sends them to backend servers. */
interface SimulatedEntry {
    /** Accepts a request. */
    void submit(RequestRun run);

    /** Cancels a request whose caller disconnected. */
    void cancel(RequestRun run);

    /** Called when the connection to a backend server is lost. */
    void backendLost(int backendIndex);
}
