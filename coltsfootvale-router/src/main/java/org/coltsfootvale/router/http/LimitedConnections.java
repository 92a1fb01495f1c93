package org.coltsfootvale.router.http;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.overload.ConnectionLimit;

/** Keeps the connections of a listener within a limit. Confined to the serving loop. */
public final class LimitedConnections {

  private final String listener;
  private final ConnectionLimit<Limited> limit;
  private final LongSupplier nanoTime;
  private final DecisionLog log;

  /**
   * Creates an empty set of connections.
   *
   * @param listener the name of the listener in the log
   * @param limit decides which connection to close
   * @param nanoTime the monotonic clock in nanoseconds
   * @param log records the connections that are closed
   */
  public LimitedConnections(
      String listener, ConnectionLimit<Limited> limit, LongSupplier nanoTime, DecisionLog log) {
    this.listener = listener;
    this.limit = limit;
    this.nanoTime = nanoTime;
    this.log = log;
  }

  /**
   * Adds a new connection and closes one if there are too many. Returns whether the new one stays.
   */
  public boolean add(Channel channel, ConnectionLimit.Connection state) {
    Limited added = new Limited(channel, state);
    Optional<Limited> excess = limit.add(added);
    excess.ifPresent(closed -> close(closed, closed == added));
    if (excess.isPresent() && excess.get() == added) {
      return false;
    }
    channel.closeFuture().addListener(closed -> limit.remove(added));
    return true;
  }

  private void close(Limited excess, boolean isNew) {
    long idleNanos = nanoTime.getAsLong() - excess.idleSinceNanos();
    log.record(
        Decision.of(DecisionEvent.CALLER_CONNECTION_LIMIT)
            .with("listener", listener)
            .with("closed", isNew ? "NEW" : "IDLE")
            .with("idle_millis", isNew ? 0 : Duration.ofNanos(idleNanos).toMillis())
            .with("connections", limit.size()));
    excess.channel.close();
  }

  /** Returns the number of connections. */
  public int size() {
    return limit.size();
  }

  /** A connection with its state, compared by identity. */
  public static final class Limited implements ConnectionLimit.Connection {

    private final Channel channel;
    private final ConnectionLimit.Connection state;

    private Limited(Channel channel, ConnectionLimit.Connection state) {
      this.channel = channel;
      this.state = state;
    }

    @Override
    public boolean idle() {
      return state.idle();
    }

    @Override
    public long idleSinceNanos() {
      return state.idleSinceNanos();
    }
  }
}
