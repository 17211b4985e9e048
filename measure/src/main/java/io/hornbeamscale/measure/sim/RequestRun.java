package io.hornbeamscale.measure.sim;

/** The state of one request as its caller observes it. */
final class RequestRun {
    enum State {
        WAITING,
        STREAMING,
        DONE,
        GAVE_UP,
        REFUSED,
        FAILED
    }

    final RequestSpec spec;
    State state = State.WAITING;
    /** The attempt whose tokens the caller receives, null before the first token. */
    Object deliveringAttempt;

    int entry;
    int tries = 1;
    /** The number of tokens that arrived during a peak of demand. */
    int peakTokens;

    long admittedMicros = -1;
    long firstTokenMicros = -1;
    long lastTokenMicros;
    long stallMicros;
    boolean isRemote;

    RequestRun(RequestSpec spec) {
        this.spec = spec;
        this.entry = spec.entry();
    }

    boolean isOver() {
        return state != State.WAITING && state != State.STREAMING;
    }
}
