package org.coltsfootvale.core.placement;

import java.util.Set;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.ModelId;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RequestClass;
import org.jspecify.annotations.Nullable;

/**
 * The properties of a request that placement depends on.
 *
 * @param organisation the caller's organisation
 * @param model the requested model
 * @param requestClass the priority class
 * @param chat the chat's id within the organisation
 * @param promptTokens the estimated length of the prompt, at least 0
 * @param outputTokens the expected length of the answer, at least 1
 * @param hint the verified hint of the caller, or null
 * @param excluded engines that have already failed or refused this request
 */
public record PlacementRequest(
    OrganisationId organisation,
    ModelId model,
    RequestClass requestClass,
    String chat,
    int promptTokens,
    int outputTokens,
    @Nullable CacheHint hint,
    Set<EngineId> excluded) {

  /** Copies the set. */
  public PlacementRequest {
    excluded = Set.copyOf(excluded);
  }
}
