package org.coltsfootvale.router.serving;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpServerCodec;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.decision.RateLimitedDecisionLog;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.overload.ConnectionLimit;
import org.coltsfootvale.core.routing.CallerLimits;
import org.coltsfootvale.core.support.Service;
import org.coltsfootvale.router.http.HttpListener;
import org.coltsfootvale.router.http.LimitedConnections;
import org.coltsfootvale.router.http.ServingLoop;

/** Accepts the connections of callers. */
public final class CallerListener implements Service {

  private static final int CHUNK_BYTES_MAX = 65_536;
  private static final CallerLimits INITIAL_LIMITS =
      new CallerLimits(16_384, 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));

  /** Callers outside the control of the operators cause these events. */
  private static final List<DecisionEvent> RATE_LIMITED =
      List.of(
          DecisionEvent.CALLER_REFUSED_FOR_MEMORY,
          DecisionEvent.CALLER_CLOSED_FOR_MEMORY,
          DecisionEvent.CALLER_TOO_SLOW,
          DecisionEvent.CALLER_CONNECTION_LIMIT);

  private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

  private final HttpListener listener;
  private final RequestStarter starter;
  private final ServingState state;
  private final LongSupplier nanoTime;
  private final ChannelGroup connections;
  private final LimitedConnections limited;

  /**
   * Creates a listener.
   *
   * @param loop serves the connections
   * @param address where callers connect
   * @param starter starts their requests
   * @param state the view of this router
   * @param descriptors the descriptors that the host allows; no limit of connections if empty
   * @param nanoTime the monotonic clock in nanoseconds
   * @param log records the connections that are closed
   */
  public CallerListener(
      ServingLoop loop,
      HostPort address,
      RequestStarter starter,
      ServingState state,
      OptionalLong descriptors,
      LongSupplier nanoTime,
      DecisionLog log) {
    this.starter = starter;
    this.state = state;
    this.nanoTime = nanoTime;
    this.listener = new HttpListener(loop, address, this::setUp);
    this.connections = new DefaultChannelGroup(loop.eventLoop());
    this.limited =
        new LimitedConnections("callers", ConnectionLimit.ofCallers(descriptors), nanoTime, log);
  }

  /** Returns a log that limits the rate of each event that callers cause. */
  static DecisionLog withRateLimits(DecisionLog log, LongSupplier nanoTime) {
    DecisionLog withLimits = log;
    for (DecisionEvent event : RATE_LIMITED) {
      withLimits = new RateLimitedDecisionLog(withLimits, event, LOG_INTERVAL, nanoTime);
    }
    return withLimits;
  }

  private void setUp(ChannelPipeline pipeline) {
    Channel channel = pipeline.channel();
    CallerConnection connection = new CallerConnection(starter, state, nanoTime);
    if (!limited.add(channel, connection)) {
      return;
    }
    int headerBytes = limits().headerBytesMax();
    pipeline.addLast(new HttpServerCodec(headerBytes, headerBytes, CHUNK_BYTES_MAX));
    pipeline.addLast(connection);
    connections.add(channel);
  }

  private CallerLimits limits() {
    return state.routing().map(routing -> routing.limits()).orElse(INITIAL_LIMITS);
  }

  @Override
  public void start() {
    listener.start();
  }

  @Override
  public void stop() {
    listener.stop();
    forEach(CallerConnection::closeIfIdle);
  }

  /** Closes connections on which callers have been idle or slow for too long. */
  public void sweep() {
    CallerLimits limits = limits();
    long idleMaxNanos = limits.idleTimeout().toNanos();
    long headMaxNanos = limits.headerTimeout().toNanos();
    forEach(connection -> connection.checkTimeouts(idleMaxNanos, headMaxNanos));
  }

  /** Returns the number of open connections. */
  int connections() {
    return connections.size();
  }

  /** Gives up the requests in progress, each with its final answer. */
  void endRequests() {
    forEach(CallerConnection::endRequest);
  }

  private void forEach(Consumer<CallerConnection> action) {
    connections.forEach(
        channel -> {
          CallerConnection connection = channel.pipeline().get(CallerConnection.class);
          if (connection != null) {
            action.accept(connection);
          }
        });
  }
}
