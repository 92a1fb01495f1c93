package org.coltsfootvale.protocol;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.support.Service;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.ForwardRequest;

/**
 * Sends messages to the other routers of the fleet. Connections are authenticated by the shared
 * secret, monitored by heartbeats and reopened on demand. One connection per peer carries control
 * messages and forwarded requests.
 */
public interface PeerTransport extends Service {

  /** The minimum length of a fleet secret, in characters: 64 bits if all are hexadecimal digits. */
  int SECRET_LENGTH_MIN = 16;

  /**
   * Sends a one-way message. Never blocks.
   *
   * @return false if the message was dropped and counted because the send queue is full, the
   *     transport is not running, or a recent connection attempt failed
   */
  boolean send(HostPort peer, Envelope message);

  /**
   * Sends a message.
   *
   * @return a future that completes with the reply, or fails with a {@code ColtsfootvaleException}
   */
  CompletableFuture<Envelope> request(HostPort peer, Envelope message, Duration timeout);

  /**
   * Forwards a request. The listener is called by one thread at a time. Exactly one of its terminal
   * methods, {@code onEnd} or {@code onFailure}, is called exactly once.
   */
  ForwardStream forward(HostPort peer, ForwardRequest request, ForwardListener listener);

  /** Returns a snapshot of the counters. */
  TransportCounters counters();
}
