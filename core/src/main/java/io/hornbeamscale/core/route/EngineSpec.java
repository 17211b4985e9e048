package io.hornbeamscale.core.route;

/**
 * The model engine of a service.
 *
 * @param slots the maximum number of concurrent requests on one backend server
 * @param memoryTokens the memory of one backend server for running requests and cached prompts, in tokens
 * @param bytesPerToken the size of one token's state when it is copied, in bytes
 * @param linkMegabits the rate at which a backend server copies state, in Mbit/s
 * @param canMove whether a running request can move to another backend server by a copy of its state
 * @param canBackUp whether a backend server can copy the state of a request to another one while the request runs
 * @param tokensPerEvent the number of tokens in one event of a stream
 */
public record EngineSpec(
        int slots,
        long memoryTokens,
        long bytesPerToken,
        double linkMegabits,
        boolean canMove,
        boolean canBackUp,
        int tokensPerEvent) {}
