package org.coltsfootvale.core.placement;

import java.util.List;
import org.coltsfootvale.core.model.RouterIncarnation;

/**
 * Exchanges dispatch counts between the routers of a small fleet, so that each knows the load of
 * the engines without waiting for their reports. Thread-safe.
 */
public interface DispatchExchange extends PeerLoads {

  /**
   * Returns the messages that are due; to be called twenty times a second.
   *
   * @param own this router's present counts, complete
   */
  List<AddressedCounts> dueMessages(DispatchCounts own);

  /** Takes another router's counts. */
  void onCounts(RouterIncarnation from, DispatchCounts counts);

  /** Counts and the router that they go to. */
  record AddressedCounts(RouterIncarnation to, DispatchCounts counts) {}
}
