package io.hornbeamscale.measure.distribute;

import io.hornbeamscale.core.distribute.ConfigSnapshot;
import java.util.ArrayList;
import java.util.List;

/** The document's key in the store: revisions, watches, an outage and older values. The version is the revision. */
final class StoreModel {
    private final List<ConfigSnapshot> versions = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private boolean isDown;
    private int olderBy;
    private long calls;

    void down(boolean value) {
        isDown = value;
    }

    boolean isDown() {
        return isDown;
    }

    /** Reads answer with a value that is this many revisions older. */
    void olderBy(int revisions) {
        olderBy = revisions;
    }

    void count() {
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
    boolean swap(long expectedRevision, ConfigSnapshot next) {
        if (revision() != expectedRevision) {
            return false;
        }
        versions.add(next);
        List<Watch> ready = List.copyOf(watches);
        watches.clear();
        ready.forEach(w -> w.wake().run());
        return true;
    }

    Watch watch(Runnable wake) {
        Watch watch = new Watch(wake);
        watches.add(watch);
        return watch;
    }

    boolean remove(Watch watch) {
        return watches.remove(watch);
    }

    record Watch(Runnable wake) {}
}
