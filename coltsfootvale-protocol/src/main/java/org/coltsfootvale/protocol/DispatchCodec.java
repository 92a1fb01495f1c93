package org.coltsfootvale.protocol;

import java.util.List;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.placement.DispatchCounts;
import org.coltsfootvale.protocol.wire.DispatchCount;

/** Converts dispatch counts to and from their wire form. */
public final class DispatchCodec {

  private DispatchCodec() {}

  /** Encodes dispatch counts. */
  public static org.coltsfootvale.protocol.wire.DispatchCounts encode(DispatchCounts counts) {
    var message = org.coltsfootvale.protocol.wire.DispatchCounts.newBuilder();
    message.setComplete(counts.complete());
    for (DispatchCounts.Count count : counts.counts()) {
      message.addCounts(
          DispatchCount.newBuilder()
              .setEngine(count.engine().value())
              .setOutstandingRequests(count.outstandingRequests())
              .setQueuedTokens(count.queuedTokens()));
    }
    return message.build();
  }

  /**
   * Decodes dispatch counts.
   *
   * @throws IllegalArgumentException if an engine ID is invalid
   */
  public static DispatchCounts decode(org.coltsfootvale.protocol.wire.DispatchCounts message) {
    List<DispatchCounts.Count> counts =
        message.getCountsList().stream().map(DispatchCodec::decode).toList();
    return new DispatchCounts(message.getComplete(), counts);
  }

  private static DispatchCounts.Count decode(DispatchCount count) {
    return new DispatchCounts.Count(
        new EngineId(count.getEngine()), count.getOutstandingRequests(), count.getQueuedTokens());
  }
}
