package io.hornbeamscale.core.route;

/**
 * The model engine of a service.
 *
 * @param slots how many requests run at once on one backend server
 * @param memoryTokens how many tokens of running and cached prompts fit into one backend server
 * @param bytesPerToken the size of one token's state when it is copied, in bytes
 * @param linkMegabits the rate at which a backend server copies state, in Mbit/s
 * @param canMove whether a running request's state can be copied to another backend server
 * @param canBackUp whether a backend server copies the state of a request to another one while it runs
 * @param tokensPerEvent how many tokens one event of a stream holds
 */
public record EngineSpec(
        int slots,
        long memoryTokens,
        long bytesPerToken,
        double linkMegabits,
        boolean canMove,
        boolean canBackUp,
        int tokensPerEvent) {}
