package org.coltsfootvale.core.retry;

import java.time.Instant;

/**
 * What decides whether a request may be retried.
 *
 * @param repeatable whether running it twice is harmless
 * @param resumable whether a partial answer can be continued at the same engine
 * @param deadline the time by which the answer is wanted
 */
public record RequestTraits(boolean repeatable, boolean resumable, Instant deadline) {}
