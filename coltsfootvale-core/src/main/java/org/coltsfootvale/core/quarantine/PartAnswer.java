package org.coltsfootvale.core.quarantine;

/**
 * The latest answer to a request with a prompt part.
 *
 * @param part the id of the part
 * @param atNanos the time of the answer, on the monotonic clock of this router
 */
public record PartAnswer(String part, long atNanos) {}
