package org.coltsfootvale.core.store;

import java.time.Duration;

/**
 * The timings of a {@link PrefixFollower}.
 *
 * @param changesWait the longest time that one call waits for changes
 * @param coalescingDelay the delay after a change, so that one call returns several changes
 * @param initialWatchDelay the delay after a full read, in which a peer that reads the changes for
 *     this router may be found
 */
public record FollowTimings(
    Duration changesWait, Duration coalescingDelay, Duration initialWatchDelay) {}
