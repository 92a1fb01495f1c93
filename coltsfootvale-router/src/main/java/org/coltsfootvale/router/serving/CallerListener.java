package org.coltsfootvale.router.serving;

import io.netty.channel.ChannelPipeline;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.routing.CallerLimits;
import org.coltsfootvale.core.support.Service;
import org.coltsfootvale.router.http.HttpListener;
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

  /**
   * Creates a listener.
   *
   * @param loop serves the connections
   * @param address where callers connect
   * @param starter starts their requests
   * @param state the view of this router
   * @param memory bounds the memory that callers occupy
   * @param nanoTime the monotonic clock in nanoseconds
   */
  CallerListener(
      ServingLoop loop,
      HostPort address,
      RequestStarter starter,
      ServingState state,
      CallerMemory memory,
      LongSupplier nanoTime) {
    this.starter = starter;
    this.state = state;
    this.memory = memory;
    this.pacing = new ReadPacing(loop);
    this.nanoTime = nanoTime;
    this.listener = new HttpListener(loop, address, this::setUp);
    this.connections = new DefaultChannelGroup(loop.eventLoop());
  }

  private void setUp(ChannelPipeline pipeline) {
    int headerBytes = limits().headerBytesMax();
    Queue<HttpMethod> methods = new ArrayDeque<>();
    CallerRequestDecoder decoder = new CallerRequestDecoder(headerBytes, CHUNK_BYTES_MAX, methods);
    pipeline.addLast(decoder);
    pipeline.addLast(new CallerResponseEncoder(methods));
    pipeline.addLast(
        new CallerConnection(
            starter, state, memory, pacing, nanoTime, pipeline.channel(), decoder));
    connections.add(pipeline.channel());
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
