package io.hornbeamscale.core.document;

import java.util.List;

/**
 * A model that engines load.
 *
 * @param name the name, unique among models
 * @param version the version that should run
 * @param adapters names of the adapters to load with it
 * @param maxOutputTokens the greatest number of output tokens of one request
 * @param typicalOutputTokens the prior of the length estimate, in tokens
 */
public record ModelSpec(
        String name, String version, List<String> adapters, int maxOutputTokens, int typicalOutputTokens) {}
