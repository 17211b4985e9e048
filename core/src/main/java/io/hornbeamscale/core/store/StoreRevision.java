package io.hornbeamscale.core.store;

import io.hornbeamscale.core.util.Arguments;

/**
 * A revision of the metadata store within one era of it. A new era begins when the store was restored from an older
 * copy. It repeats revisions of the era before, so the era takes precedence in every comparison. Immutable.
 *
 * @param era the number of the era, which increases with each restore; 0 if the store states none
 * @param revision the revision within the era
 */
public record StoreRevision(long era, long revision) implements Comparable<StoreRevision> {
    /** The revision before all others. */
    public static final StoreRevision NONE = new StoreRevision(0, 0);

    /** Checks the arguments. */
    public StoreRevision {
        Arguments.notNegative(era, "era");
    }

    /**
     * Returns whether this revision is later than another one.
     *
     * @param other the other revision, not null
     * @return whether this one is of a later era, or later in the same era
     */
    public boolean isAfter(StoreRevision other) {
        return compareTo(other) > 0;
    }

    /**
     * Returns the later one of two revisions.
     *
     * @param a a revision, not null
     * @param b a revision, not null
     * @return the later one, never null
     */
    public static StoreRevision latest(StoreRevision a, StoreRevision b) {
        return b.isAfter(a) ? b : a;
    }

    @Override
    public int compareTo(StoreRevision other) {
        return era == other.era ? Long.compare(revision, other.revision) : Long.compare(era, other.era);
    }

    @Override
    public String toString() {
        return era == 0 ? String.valueOf(revision) : era + "/" + revision;
    }
}
