package io.hornbeamscale.core.document;

import java.util.List;

/**
 * A region and the budget of its link to other regions.
 *
 * @param name the name, unique among regions
 * @param zones names of the availability zones
 * @param linkBytesPerSecond the budget for sending to other regions, in bytes per second
 */
public record RegionSpec(String name, List<String> zones, long linkBytesPerSecond) {}
