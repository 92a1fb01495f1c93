package org.coltsfootvale.core.placement;

import java.time.Instant;
import org.coltsfootvale.core.model.EngineId;

/**
 * The engine that computed a chat's last answer, as returned by the caller. Placement may choose
 * another engine.
 *
 * @param engine the engine
 * @param engineIncarnation the engine's incarnation number at that time
 * @param cachedTokens the chat's prompt and answer tokens in its cache
 * @param issuedAt the time of the answer
 */
public record CacheHint(
    EngineId engine, long engineIncarnation, int cachedTokens, Instant issuedAt) {}
