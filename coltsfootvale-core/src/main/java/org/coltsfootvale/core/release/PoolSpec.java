package org.coltsfootvale.core.release;

import java.util.List;
import org.coltsfootvale.core.model.PoolId;

/**
 * A pool of engines and the state that its engines are ordered to take.
 *
 * @param id its name
 * @param modelVersion the version of the weights to load
 * @param adapters the adapters to load, may be empty
 * @param role what the engines do: {@code mixed}, {@code prefill} or {@code decode}
 */
public record PoolSpec(PoolId id, String modelVersion, List<String> adapters, String role) {

  /** Copies the list. */
  public PoolSpec {
    adapters = List.copyOf(adapters);
  }
}
