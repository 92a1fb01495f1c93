package org.coltsfootvale.core.model;

import java.util.Map;

/**
 * An immutable snapshot of one router's membership view.
 *
 * @param version increases with every change of the view within one process
 * @param engines the known engines by id
 * @param routers the known routers by id, including this one
 */
public record FleetView(
    long version, Map<EngineId, EngineView> engines, Map<RouterId, RouterView> routers) {

  /** Copies the maps. */
  public FleetView {
    engines = Map.copyOf(engines);
    routers = Map.copyOf(routers);
  }

  /** Returns a view without engines and routers. */
  public static FleetView empty() {
    return new FleetView(0, Map.of(), Map.of());
  }
}
