package io.hornbeamscale.core.schedule;

import io.hornbeamscale.core.estimate.LengthDistribution;
import java.util.Collection;

/**
 * The predicted memory use of all admitted work, as mean and variance at several numbers of steps ahead. Each step
 * emits one token of each running response, and a response that has ended uses no memory.
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

    void add(LengthDistribution lengths, int promptTokens, int emitted, int maxTokens, int sign) {
        double alive = Math.max(1e-12, lengths.survival(emitted));
        long context = promptTokens + (long) emitted;
        int left = maxTokens > 0 ? Math.max(0, maxTokens - emitted) : Integer.MAX_VALUE;
        for (int i = 0; i < STEPS.length; i++) {
            // A token limit between two steps counts at the later step, so that the memory at the limit is not missed.
            int step = Math.min(STEPS[i], left);
            double p = step == 0 ? 1 : Math.min(1, lengths.survival(emitted + step - 1) / alive);
            if (p < 1e-6) {
                break;
            }
            double size = context + (double) step;
            mean[i] += sign * p * size;
            variance[i] += sign * p * (1 - p) * size * size;
            if (step < STEPS[i]) {
                break;
            }
        }
    }

    /** Returns the maximum memory use over all steps, as mean plus a number of standard deviations. */
    double peak(double deviations) {
        double peak = 0;
        for (int i = 0; i < STEPS.length; i++) {
            peak = Math.max(peak, mean[i] + deviations * Math.sqrt(Math.max(0, variance[i])));
        }
        return peak;
    }
}
