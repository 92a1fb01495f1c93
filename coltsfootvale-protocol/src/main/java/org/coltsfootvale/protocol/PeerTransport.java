package org.coltsfootvale.protocol;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.support.Service;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.ForwardRequest;

/**
 * Connections to the other routers of the fleet: authenticated by the shared secret, kept alive by
 * heartbeats, reopened on demand. One connection per peer carries control messages and forwarded
 * requests.
 */
public interface PeerTransport extends Service {

  /** The characters that a fleet secret has at least: 64 bits even of hexadecimal digits. */
  int SECRET_LENGTH_MIN = 16;

  /**
   * Sends a one-way message. Never blocks.
   *
   * @return false if the message was dropped, because no connection could be opened lately or
   *     because the send queue is full; the drop is counted
   */
  boolean send(HostPort peer, Envelope message);

  /** Sends a message and completes with the reply, or fails with a typed error. */
  CompletableFuture<Envelope> request(HostPort peer, Envelope message, Duration timeout);

  /**
   * Forwards a request. The listener is called from one thread at a time; exactly one of its final
   * methods is called, exactly once.
   */
  ForwardStream forward(HostPort peer, ForwardRequest request, ForwardListener listener);

  /** Returns the counters since the start. */
  TransportCounters counters();
}
