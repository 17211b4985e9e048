package io.hornbeamscale.measure.sim;

/** An entry of the simulation. */
interface EntryNode {
    /** Accepts a request. */
    void submit(RequestRun run);

    /** The caller went away. */
    void giveUp(RequestRun run);

    /** Learns that a runner is gone. */
    void runnerGone(int runner);
}
