package org.coltsfootvale.core.release;

import java.util.List;
import org.coltsfootvale.core.model.PoolId;

/**
 * A pool of engines and their target state.
 *
 * @param id its name
 * @param modelVersion the version of the weights to load
 * @param adapters the adapters to load, may be empty
 * @param role the role of the engines: {@code mixed}, {@code prefill} or {@code decode}
 */
public record PoolSpec(PoolId id, String modelVersion, List<String> adapters, String role) {

  /** Copies the list. */
  public PoolSpec {
    adapters = List.copyOf(adapters);
  }
}
