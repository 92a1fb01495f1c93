package org.coltsfootvale.core.course;

/**
 * One part of a prompt. Requests whose prompts begin with the same parts share a replica's cache.
 *
 * @param id the part's identity
 * @param tokens its size in tokens
 */
public record PromptPart(String id, int tokens) {}
