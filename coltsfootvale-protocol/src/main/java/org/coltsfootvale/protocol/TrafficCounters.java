package org.coltsfootvale.protocol;

import java.util.concurrent.atomic.LongAdder;
import org.coltsfootvale.protocol.wire.Envelope;

/** Mutable counters of the transport. Thread-safe. */
final class TrafficCounters {

  private static final int LENGTH_PREFIX_BYTES = 4;

  final LongAdder messagesDropped = new LongAdder();
  final LongAdder connectionsOpened = new LongAdder();
  final LongAdder connectionsRefused = new LongAdder();
  final LongAdder connectionsSilent = new LongAdder();
  final LongAdder framesInvalid = new LongAdder();
  private final LongAdder controlBytesSent = new LongAdder();
  private final LongAdder controlBytesReceived = new LongAdder();
  private final LongAdder forwardBytesSent = new LongAdder();
  private final LongAdder forwardBytesReceived = new LongAdder();

  /** Counts the bytes of a sent frame. */
  void sent(Envelope message) {
    (isForward(message) ? forwardBytesSent : controlBytesSent).add(frameBytes(message));
  }

  /** Counts the bytes of a received frame. */
  void received(Envelope message) {
    (isForward(message) ? forwardBytesReceived : controlBytesReceived).add(frameBytes(message));
  }

  /** Returns a snapshot of the counters. */
  TransportCounters snapshot() {
    return new TransportCounters(
        controlBytesSent.sum(),
        controlBytesReceived.sum(),
        forwardBytesSent.sum(),
        forwardBytesReceived.sum(),
        messagesDropped.sum(),
        connectionsOpened.sum(),
        connectionsRefused.sum(),
        connectionsSilent.sum(),
        framesInvalid.sum());
  }

  private static int frameBytes(Envelope message) {
    return LENGTH_PREFIX_BYTES + message.getSerializedSize();
  }

  private static boolean isForward(Envelope message) {
    return switch (message.getBodyCase()) {
      case FORWARD_REQUEST,
          FORWARD_HEAD,
          FORWARD_BODY,
          FORWARD_END,
          FORWARD_CANCEL,
          FORWARD_CREDIT ->
          true;
      default -> false;
    };
  }
}
