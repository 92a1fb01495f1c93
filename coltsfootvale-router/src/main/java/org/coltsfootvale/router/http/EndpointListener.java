package org.coltsfootvale.router.http;

import io.netty.channel.ChannelPipeline;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.EventExecutorGroup;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.support.Service;

/** Serves an endpoint on one address to callers that may be slow, idle or too many. */
public final class EndpointListener implements Service {

  private final HttpEndpoint endpoint;
  private final EventExecutorGroup executors;
  private final LimitedConnections limited;
  private final LongSupplier nanoTime;
  private final HttpListener listener;
  private final ChannelGroup connections;

  /**
   * Creates a listener.
   *
   * @param loop serves the connections
   * @param address the address to listen on
   * @param executors run the endpoint; may be the loop itself
   * @param endpoint answers the requests
   * @param limited keeps the connections within a limit
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public EndpointListener(
      ServingLoop loop,
      HostPort address,
      EventExecutorGroup executors,
      HttpEndpoint endpoint,
      LimitedConnections limited,
      LongSupplier nanoTime) {
    this.endpoint = endpoint;
    this.executors = executors;
    this.limited = limited;
    this.nanoTime = nanoTime;
    this.listener = new HttpListener(loop, address, this::setUp);
    this.connections = new DefaultChannelGroup(loop.eventLoop());
  }

  private void setUp(ChannelPipeline pipeline) {
    EndpointConnection connection = new EndpointConnection(nanoTime);
    if (limited.add(pipeline.channel(), connection)) {
      HttpEndpointHandler.install(pipeline, connection, executors, endpoint);
      connections.add(pipeline.channel());
    }
  }

  @Override
  public void start() {
    listener.start();
  }

  @Override
  public void stop() {
    listener.stop();
  }

  /** Closes connections on which callers have been idle or slow for too long. */
  public void sweep() {
    connections.forEach(
        channel -> {
          EndpointConnection connection = channel.pipeline().get(EndpointConnection.class);
          if (connection != null && connection.expired()) {
            channel.close();
          }
        });
  }

  /** Returns the port that the listener is bound to. */
  int port() {
    return listener.port();
  }
}
