package io.hornbeamscale.external;

import java.util.concurrent.CompletionStage;

/** The platform's store of model weights, which limits the rate of calls. */
public interface WeightStore {
    /**
     * Looks up the weights of a version. The call counts towards the rate limit and is not retried if it is throttled.
     *
     * @param name the model or adapter, not blank
     * @param version the version, not blank
     * @return the reply
     */
    CompletionStage<WeightReply> find(String name, String version);
}
