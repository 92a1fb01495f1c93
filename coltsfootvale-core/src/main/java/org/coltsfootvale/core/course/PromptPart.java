package org.coltsfootvale.core.course;

/**
 * One part of a prompt. Requests whose prompts share a prefix of parts can share a replica's cache.
 *
 * @param id the id of the part
 * @param tokens the size in tokens
 */
public record PromptPart(String id, int tokens) {}
