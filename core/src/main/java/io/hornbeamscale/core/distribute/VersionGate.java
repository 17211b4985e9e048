package io.hornbeamscale.core.distribute;

/**
 * Decides whether a version may come into force. After the start the gate is closed until the node knows that it will
 * not fall behind what it had in force before its restart; until then peers and the store raise a floor. Once open, the
 * gate admits only versions above the one in force.
 */
public final class VersionGate {
    private long versionInForce;
    private long floor;
    private long rejected;
    private boolean isOpen;

    /** Creates a closed gate without a version in force. */
    public VersionGate() {}

    /**
     * Notes that a version exists. A closed gate will not admit a lower one.
     *
     * @param version the version
     */
    public void raiseFloor(long version) {
        if (!isOpen) {
            floor = Math.max(floor, version);
        }
    }

    /** Opens the gate for good. */
    public void open() {
        isOpen = true;
    }

    /**
     * Admits a version if it is above the one in force.
     *
     * @param version the version
     * @return whether the version is now in force and must be applied
     */
    public boolean tryApply(long version) {
        if (!isOpen || version <= versionInForce || version < floor) {
            rejected++;
            return false;
        }
        versionInForce = version;
        return true;
    }

    /**
     * Returns whether the gate is open.
     *
     * @return whether versions can come into force
     */
    public boolean isOpen() {
        return isOpen;
    }

    /**
     * Returns the version in force.
     *
     * @return the version, 0 for none
     */
    public long versionInForce() {
        return versionInForce;
    }

    /**
     * Returns the lowest version that a starting node may apply.
     *
     * @return the floor, 0 for none
     */
    public long floor() {
        return floor;
    }

    /**
     * Returns how many versions were not admitted.
     *
     * @return the number since the start
     */
    public long rejected() {
        return rejected;
    }
}
