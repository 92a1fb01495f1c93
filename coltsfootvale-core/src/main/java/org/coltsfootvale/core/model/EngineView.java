package org.coltsfootvale.core.model;

import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * A router's view of an engine.
 *
 * @param id the engine
 * @param incarnation the incarnation number that the engine reports, 0 if unknown
 * @param liveness its state
 * @param liveSince the start of its current uninterrupted live period, by this router's clock; null
 *     unless live
 * @param load its newest known load report, or null if none is known
 * @param weight its placement weight from the weight tuner, 1 by default, more than 0
 */
public record EngineView(
    EngineId id,
    long incarnation,
    Liveness liveness,
    @Nullable Instant liveSince,
    @Nullable EngineLoad load,
    double weight) {}
