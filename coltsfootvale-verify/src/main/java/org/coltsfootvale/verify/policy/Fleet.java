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

/** The fake engines and the release state that names them. */
final class Fleet {

  static final ModelId MODEL = new ModelId("model");

  private final List<FakeEngine> engines = new ArrayList<>();
  private final Map<EngineId, FakeEngine> byId = new HashMap<>();
  private final FleetState state;

  Fleet(FleetSize size, Mix mix, PolicySpec policy, VirtualTime time) {
    Map<EngineId, EngineSpec> specs = new HashMap<>();
    for (int i = 0; i < size.engines(); i++) {
      EngineId id = new EngineId(String.format(Locale.ROOT, "engine-%03d", i));
      FakeEngine engine = new FakeEngine(id, time, mix.cacheTokensPerEngine());
      engines.add(engine);
      byId.put(id, engine);
      specs.put(id, spec(id));
    }
    state = new FleetState(1, Map.of(), Map.of(), Map.of(), specs, Map.of(), Map.of(), policy);
  }

  FleetState state() {
    return state;
  }

  List<FakeEngine> engines() {
    return engines;
  }

  /** Returns the engine of an id that the release state names. */
  FakeEngine engine(EngineId id) {
    FakeEngine engine = byId.get(id);
    if (engine == null) {
      throw new IllegalArgumentException("no engine " + id);
    }
    return engine;
  }

  private static EngineSpec spec(EngineId id) {
    return new EngineSpec(
        id,
        new PoolId("pool"),
        URI.create("http://127.0.0.1:1"),
        new DataCentreId("dc"),
        List.of(MODEL),
        FakeEngine.PREFILL_TOKENS_PER_SECOND,
        true);
  }
}
