package org.coltsfootvale.core.release;

import java.util.Map;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.ModelId;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.PoolId;
import org.coltsfootvale.core.model.ServiceId;

/**
 * The state of the fleet after a release revision; immutable.
 *
 * @param revision the number of accepted notes, 0 before the first
 * @param organisations the organisations by id
 * @param models the models by id
 * @param pools the pools by id
 * @param engines the engines by id
 * @param services the services other than engines by id
 * @param operators the operators by id
 * @param policy the placement rules
 */
public record FleetState(
    long revision,
    Map<OrganisationId, OrganisationSpec> organisations,
    Map<ModelId, ModelSpec> models,
    Map<PoolId, PoolSpec> pools,
    Map<EngineId, EngineSpec> engines,
    Map<ServiceId, ServiceSpec> services,
    Map<String, OperatorSpec> operators,
    PolicySpec policy) {

  /** Copies the maps. */
  public FleetState {
    organisations = Map.copyOf(organisations);
    models = Map.copyOf(models);
    pools = Map.copyOf(pools);
    engines = Map.copyOf(engines);
    services = Map.copyOf(services);
    operators = Map.copyOf(operators);
  }

  /** Returns the state before the first release note. */
  public static FleetState empty() {
    return new FleetState(
        0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), PolicySpec.DEFAULT);
  }
}
