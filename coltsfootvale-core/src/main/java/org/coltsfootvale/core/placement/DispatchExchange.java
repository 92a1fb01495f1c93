package org.coltsfootvale.core.placement;

import java.util.List;
import org.coltsfootvale.core.model.RouterIncarnation;

/**
 * Exchanges dispatch counts between the routers of a small fleet, so that each can estimate the
 * engines' loads without waiting for their reports. Thread-safe.
 */
public interface DispatchExchange extends PeerLoads {

  /**
   * Returns the messages to send now; called 20 times a second.
   *
   * @param own this router's current counts, complete
   */
  List<AddressedCounts> dueMessages(DispatchCounts own);

  /** Handles the counts received from a peer. */
  void onCounts(RouterIncarnation from, DispatchCounts counts);

  /** Counts and their destination. */
  record AddressedCounts(RouterIncarnation to, DispatchCounts counts) {}
}
