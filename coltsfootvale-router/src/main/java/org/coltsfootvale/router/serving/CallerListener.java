package org.coltsfootvale.router.serving;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.decision.DecisionLog;
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

  private final HttpListener listener;
  private final RequestStarter starter;
  private final ServingState state;
  private final CallerMemory memory;
  private final ReadPacing pacing;
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
   * @param memory bounds the memory that callers occupy
   * @param descriptors the descriptors that the host allows; no limit of connections if empty
   * @param nanoTime the monotonic clock in nanoseconds
   * @param log records the connections that are closed
   */
  CallerListener(
      ServingLoop loop,
      HostPort address,
      RequestStarter starter,
      ServingState state,
      CallerMemory memory,
      OptionalLong descriptors,
      LongSupplier nanoTime,
      DecisionLog log) {
    this.starter = starter;
    this.state = state;
    this.memory = memory;
    this.pacing = new ReadPacing(loop);
    this.nanoTime = nanoTime;
    this.listener = new HttpListener(loop, address, this::setUp);
    this.connections = new DefaultChannelGroup(loop.eventLoop());
    this.limited =
        new LimitedConnections("callers", ConnectionLimit.ofCallers(descriptors), nanoTime, log);
  }

  private void setUp(ChannelPipeline pipeline) {
    Channel channel = pipeline.channel();
    int headerBytes = limits().headerBytesMax();
    Queue<HttpMethod> methods = new ArrayDeque<>();
    CallerRequestDecoder decoder = new CallerRequestDecoder(headerBytes, CHUNK_BYTES_MAX, methods);
    CallerConnection connection =
        new CallerConnection(starter, state, memory, pacing, nanoTime, channel, decoder);
    pipeline.addLast(decoder);
    pipeline.addLast(new CallerResponseEncoder(methods));
    pipeline.addLast(connection);
    // A connection that is closed here releases its charge as its handlers are in place.
    if (limited.add(channel, connection)) {
      connections.add(channel);
    }
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
    memory.budget().setBodyBytesMax(limits.bodyBytesMax());
    long idleMaxNanos = limits.idleTimeout().toNanos();
    long headMaxNanos = limits.headerTimeout().toNanos();
    forEach(connection -> connection.checkTimeouts(idleMaxNanos, headMaxNanos));
  }

  /** Returns the number of open connections. */
  int connections() {
    return connections.size();
  }

  /** Returns the bytes that are held for callers. */
  long heldBytes() {
    return memory.budget().heldBytes();
  }

  /** Returns the bytes that may be held for callers. */
  long capacityBytes() {
    return memory.budget().capacity();
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
