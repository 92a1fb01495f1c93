package org.coltsfootvale.core.placement;

import java.time.Instant;
import org.coltsfootvale.core.model.EngineId;

/**
 * Where a chat's last answer was computed, as its caller hands it back. Advice only.
 *
 * @param engine the engine
 * @param engineIncarnation the engine's start number at that time
 * @param cachedTokens the prompt and answer tokens it held for the chat
 * @param issuedAt the time of the answer
 */
public record CacheHint(
    EngineId engine, long engineIncarnation, int cachedTokens, Instant issuedAt) {}
