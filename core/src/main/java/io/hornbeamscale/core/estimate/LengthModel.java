package io.hornbeamscale.core.estimate;

import io.hornbeamscale.core.work.WorkItem;

/** Predicts output lengths and learns from complete responses. */
public interface LengthModel {
    /**
     * Returns the distribution of lengths for a request.
     *
     * @param work the request, not null
     * @return the distribution, never null
     */
    LengthDistribution distribution(WorkItem work);

    /**
     * Returns the mean length over all requests of a service.
     *
     * @param work a request of the service, not null
     * @return the mean in tokens
     */
    double serviceMean(WorkItem work);

    /**
     * Records the length of a complete response.
     *
     * @param work the request, not null
     * @param outputTokens the length of the response in tokens
     */
    void observe(WorkItem work, int outputTokens);
}
