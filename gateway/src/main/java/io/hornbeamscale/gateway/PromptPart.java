package io.hornbeamscale.gateway;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id the id of the part
 * @param tokens the length of the part, in tokens
 */
public record PromptPart(String id, int tokens) {}
