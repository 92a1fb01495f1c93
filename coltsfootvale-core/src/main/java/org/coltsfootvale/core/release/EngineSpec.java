package org.coltsfootvale.core.release;

import java.net.URI;
import java.util.List;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.ModelId;
import org.coltsfootvale.core.model.PoolId;

/**
 * A model engine.
 *
 * @param id its name
 * @param pool the pool whose target state it is ordered to take
 * @param address its base address
 * @param dataCentre the data centre where it runs
 * @param models the models it serves; at least one
 * @param prefillTokensPerSecond its prefill rate in tokens per second, for cost estimates
 * @param checksFencing whether it refuses orders with an outdated fencing number
 */
public record EngineSpec(
    EngineId id,
    PoolId pool,
    URI address,
    DataCentreId dataCentre,
    List<ModelId> models,
    double prefillTokensPerSecond,
    boolean checksFencing) {

  /** Copies the list. */
  public EngineSpec {
    models = List.copyOf(models);
  }
}
