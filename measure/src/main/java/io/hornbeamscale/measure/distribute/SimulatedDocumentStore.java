package io.hornbeamscale.measure.distribute;

import io.hornbeamscale.core.distribute.ConfigSnapshot;
import java.util.ArrayList;
import java.util.List;

/** The document's key in a simulated store with watches, outages and old values. Versions equal revisions. */
final class SimulatedDocumentStore {
    private final List<ConfigSnapshot> versions = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private boolean isDown;
    private int olderBy;
    private long calls;

    void setDown(boolean value) {
        isDown = value;
    }

    boolean isDown() {
        return isDown;
    }

    /** Makes reads return a value that is older by this number of revisions. */
    void setOlderBy(int revisions) {
        olderBy = revisions;
    }

    void countCall() {
        calls++;
    }

    long calls() {
        return calls;
    }

    long revision() {
        return versions.size();
    }

    ConfigSnapshot latest() {
        return versions.isEmpty() ? ConfigSnapshot.EMPTY : versions.get(versions.size() - 1);
    }

    ConfigSnapshot version(long version) {
        return versions.get((int) version - 1);
    }

    ConfigSnapshot read() {
        if (versions.isEmpty()) {
            return ConfigSnapshot.EMPTY;
        }
        return versions.get(Math.max(0, versions.size() - 1 - olderBy));
    }

    /** Writes a version if the revision is as expected. */
    boolean compareAndSwap(long expectedRevision, ConfigSnapshot next) {
        if (revision() != expectedRevision) {
            return false;
        }
        versions.add(next);
        List<Watch> ready = List.copyOf(watches);
        watches.clear();
        ready.forEach(w -> w.callback().run());
        return true;
    }

    Watch watch(Runnable callback) {
        Watch watch = new Watch(callback);
        watches.add(watch);
        return watch;
    }

    boolean remove(Watch watch) {
        return watches.remove(watch);
    }

    record Watch(Runnable callback) {}
}
