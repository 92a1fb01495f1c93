package org.coltsfootvale.core.retry;

import java.time.Instant;

/**
 * The properties of a request that decide whether it may be retried.
 *
 * @param repeatable whether running it twice is harmless
 * @param resumable whether a partial answer can be continued at the same engine
 * @param deadline the time by which the caller needs the answer
 */
public record RequestTraits(boolean repeatable, boolean resumable, Instant deadline) {}
