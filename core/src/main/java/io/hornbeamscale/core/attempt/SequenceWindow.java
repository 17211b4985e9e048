package io.hornbeamscale.core.attempt;

/** A set of sequence numbers that is limited to a window of the latest numbers, with one bit per number. */
final class SequenceWindow {
    private final int size;
    private long[] words = new long[1];
    private long next;

    SequenceWindow(int size) {
        this.size = size;
    }

    /** Moves the end of the window to this number; numbers that leave the window are removed. */
    void advanceTo(long sequence) {
        if (sequence >= next + size) {
            words = new long[words.length];
            next = Math.max(next, sequence - size + 1);
        }
        while (next <= sequence) {
            grow();
            clear(next);
            next++;
        }
    }

    /** Adds a number; numbers outside of the window are ignored. */
    void add(long sequence) {
        if (isCovered(sequence)) {
            words[word(sequence)] |= 1L << (sequence & 63);
        }
    }

    void remove(long sequence) {
        if (isCovered(sequence)) {
            clear(sequence);
        }
    }

    boolean contains(long sequence) {
        return isCovered(sequence) && (words[word(sequence)] & (1L << (sequence & 63))) != 0;
    }

    /** Returns whether the number is within the window, which ends with the latest number. */
    boolean isCovered(long sequence) {
        return sequence >= 0 && sequence < next && sequence >= next - size;
    }

    private void clear(long sequence) {
        words[word(sequence)] &= ~(1L << (sequence & 63));
    }

    private int word(long sequence) {
        return (int) ((sequence >> 6) % words.length);
    }

    /** Doubles the array until it covers the window, so that a short-lived agent uses little memory. */
    private void grow() {
        int needed = size / 64 + 2;
        if (words.length >= needed || (next >> 6) < words.length) {
            return;
        }
        long[] larger = new long[Math.min(needed, words.length * 2)];
        int old = words.length;
        for (long w = Math.max(0, (next >> 6) - old); w < (next >> 6); w++) {
            larger[(int) (w % larger.length)] = words[(int) (w % old)];
        }
        words = larger;
    }
}
