package io.hornbeamscale.daemon;

/** What an agent's daemon knows about a call on the backend server. */
final class CallState {
    final boolean isRepeatable;
    String tag = "";
    String engineId;
    int reattaches;
    long emitted;

    CallState(boolean isRepeatable, String engineId) {
        this.isRepeatable = isRepeatable;
        this.engineId = engineId;
    }
}
