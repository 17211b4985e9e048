package io.hornbeamscale.core.route;

import io.hornbeamscale.core.util.Arguments;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/** The regions in which a request may be served, cached and kept. Immutable. */
public final class AllowedRegions {
    /** Allows every region. */
    public static final AllowedRegions ANY = new AllowedRegions(false, Set.of());

    /** Allows no region. */
    public static final AllowedRegions NONE = new AllowedRegions(true, Set.of());

    private final boolean isRestricted;
    private final Set<String> names;

    private AllowedRegions(boolean isRestricted, Set<String> names) {
        this.isRestricted = isRestricted;
        this.names = names;
    }

    /**
     * Returns the regions of a list in the document.
     *
     * @param names the names of the regions, not null; an empty list allows every region
     * @return the regions, never null
     */
    public static AllowedRegions of(Collection<String> names) {
        Arguments.notNull(names, "names");
        return names.isEmpty() ? ANY : new AllowedRegions(true, Set.copyOf(names));
    }

    /**
     * Returns the regions that both lists allow. If both name regions and share none, no region is allowed.
     *
     * @param other the other regions, not null
     * @return the intersection, never null
     */
    public AllowedRegions and(AllowedRegions other) {
        if (!other.isRestricted) {
            return this;
        }
        if (!isRestricted) {
            return other;
        }
        Set<String> both = new HashSet<>(names);
        both.retainAll(other.names);
        return new AllowedRegions(true, Set.copyOf(both));
    }

    /**
     * Returns whether a region is allowed.
     *
     * @param region the name of the region, null if it is unknown
     * @return whether the regions are not restricted or contain the region
     */
    public boolean allows(String region) {
        return !isRestricted || (region != null && names.contains(region));
    }

    /**
     * Returns whether some regions are forbidden.
     *
     * @return whether the document names regions
     */
    public boolean isRestricted() {
        return isRestricted;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AllowedRegions that && isRestricted == that.isRestricted && names.equals(that.names);
    }

    @Override
    public int hashCode() {
        return names.hashCode();
    }

    @Override
    public String toString() {
        return isRestricted ? names.toString() : "any";
    }
}
