package org.coltsfootvale.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootvale.core.model.ModelId;
import org.coltsfootvale.core.release.EngineSpec;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.support.RendezvousHashing;

/** The engines of each model in one release state; immutable. */
final class ModelIndex {

  private final FleetState state;
  private final Map<ModelId, List<Entry>> engines = new HashMap<>();

  ModelIndex(FleetState state) {
    this.state = state;
    for (EngineSpec engine : state.engines().values()) {
      Entry entry = new Entry(engine, RendezvousHashing.hash(engine.id().value()));
      for (ModelId model : engine.models()) {
        engines.computeIfAbsent(model, key -> new ArrayList<>()).add(entry);
      }
    }
  }

  /** Returns the release state of this index. */
  FleetState state() {
    return state;
  }

  /** Returns the engines that serve a model. */
  List<Entry> engines(ModelId model) {
    return engines.getOrDefault(model, List.of());
  }

  /** An engine and the hash of its id. */
  record Entry(EngineSpec spec, long hash) {}
}
