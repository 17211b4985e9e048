package io.hornbeamscale.core.schedule;

import io.hornbeamscale.core.estimate.LengthDistribution;
import java.util.Collection;

/**
 * The predicted engine memory use of a set of responses, in tokens, as mean and variance after several numbers of
 * decode steps. Each step emits one token of every running response, and a response that has ended uses no memory.
 */
final class PeakProfile {
    private static final int[] STEPS = {
        0, 16, 32, 64, 96, 128, 192, 256, 320, 384, 512, 640, 768, 1_024, 1_280, 1_536, 2_048, 3_072, 4_096, 8_192,
        16_384
    };

    private final double[] mean = new double[STEPS.length];
    private final double[] variance = new double[STEPS.length];

    void reset(Collection<AdmittedAttempt> admitted) {
        java.util.Arrays.fill(mean, 0);
        java.util.Arrays.fill(variance, 0);
        for (AdmittedAttempt a : admitted) {
            add(a.lengths, a.promptTokens, a.emitted, a.maxTokens, 1);
        }
    }

    /**
     * Adds a response to the prediction, or removes it again.
     *
     * @param lengths the distribution of the response's length
     * @param promptTokens the number of tokens of the prompt
     * @param emitted the number of tokens emitted so far
     * @param maxTokens the caller's limit of output tokens, 0 for none
     * @param sign 1 to add the response, -1 to remove it
     */
    void add(LengthDistribution lengths, int promptTokens, int emitted, int maxTokens, int sign) {
        double survivalSoFar = Math.max(1e-12, lengths.survival(emitted));
        long contextTokens = promptTokens + (long) emitted;
        int remainingTokens = maxTokens > 0 ? Math.max(0, maxTokens - emitted) : Integer.MAX_VALUE;
        for (int i = 0; i < STEPS.length; i++) {
            // If the token limit is reached between two elements of STEPS, the memory at the limit counts at the later
            // element, since it would otherwise be missed.
            int step = Math.min(STEPS[i], remainingTokens);
            double runningProbability =
                    step == 0 ? 1 : Math.min(1, lengths.survival(emitted + step - 1) / survivalSoFar);
            if (runningProbability < 1e-6) {
                break;
            }
            double size = contextTokens + (double) step;
            mean[i] += sign * runningProbability * size;
            variance[i] += sign * runningProbability * (1 - runningProbability) * size * size;
            if (step < STEPS[i]) {
                break;
            }
        }
    }

    /**
     * Returns the maximum predicted memory use.
     *
     * @param deviations the number of standard deviations that are added to the mean
     * @return the maximum of mean plus deviations over all steps, in tokens
     */
    double peak(double deviations) {
        double peak = 0;
        for (int i = 0; i < STEPS.length; i++) {
            peak = Math.max(peak, mean[i] + deviations * Math.sqrt(Math.max(0, variance[i])));
        }
        return peak;
    }
}
