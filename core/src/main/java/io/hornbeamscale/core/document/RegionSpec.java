package io.hornbeamscale.core.document;

import java.util.List;

/**
 * A region and the bandwidth budget of its link to other regions. Null lists and texts become empty.
 *
 * @param name the name, unique among regions
 * @param zones names of the availability zones
 * @param linkBytesPerSecond the budget for sending to other regions, in bytes per second; 0 sends nothing
 */
public record RegionSpec(
        @FieldRule(meaning = "name, unique among regions") String name,

        @FieldRule(meaning = "availability zones, unique over all regions", minItems = 1)
        List<String> zones,

        @FieldRule(
                meaning = "budget for sending to other regions, in bytes per second; 0 sends nothing",
                min = 0,
                max = 1e11)
        long linkBytesPerSecond)
        implements Entity {
    /** Copies the list and replaces null by empty. */
    public RegionSpec {
        name = NullToEmpty.text(name);
        zones = NullToEmpty.list(zones);
    }
}
