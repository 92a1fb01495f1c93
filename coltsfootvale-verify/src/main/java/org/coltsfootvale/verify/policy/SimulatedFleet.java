package org.coltsfootvale.verify.policy;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.ModelId;
import org.coltsfootvale.core.model.PoolId;
import org.coltsfootvale.core.release.EngineSpec;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.PolicySpec;

/** The simulated engines and the release state that lists them. */
final class SimulatedFleet {

  static final ModelId MODEL = new ModelId("model");

  private final List<SimulatedEngine> engines = new ArrayList<>();
  private final Map<EngineId, SimulatedEngine> byId = new HashMap<>();
  private final FleetState state;

  SimulatedFleet(FleetSize size, WorkloadMix mix, PolicySpec policy, VirtualTime time) {
    Map<EngineId, EngineSpec> specs = new HashMap<>();
    for (int i = 0; i < size.engines(); i++) {
      EngineId id = new EngineId(String.format(Locale.ROOT, "engine-%03d", i));
      SimulatedEngine engine = new SimulatedEngine(id, time, mix.cacheTokensPerEngine());
      engines.add(engine);
      byId.put(id, engine);
      specs.put(id, engineSpec(id));
    }
    state = new FleetState(1, Map.of(), Map.of(), Map.of(), specs, Map.of(), Map.of(), policy);
  }

  FleetState state() {
    return state;
  }

  List<SimulatedEngine> engines() {
    return engines;
  }

  /**
   * Returns the engine with an id.
   *
   * @throws IllegalArgumentException if there is none
   */
  SimulatedEngine engine(EngineId id) {
    SimulatedEngine engine = byId.get(id);
    if (engine == null) {
      throw new IllegalArgumentException("unknown engine: " + id);
    }
    return engine;
  }

  private static EngineSpec engineSpec(EngineId id) {
    return new EngineSpec(
        id,
        new PoolId("pool"),
        URI.create("http://127.0.0.1:1"),
        new DataCentreId("dc"),
        List.of(MODEL),
        SimulatedEngine.PREFILL_TOKENS_PER_SECOND,
        true);
  }
}
