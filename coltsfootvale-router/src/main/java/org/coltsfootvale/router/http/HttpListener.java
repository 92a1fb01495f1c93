package org.coltsfootvale.router.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Optional;
import java.util.function.Consumer;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.support.Service;
import org.jspecify.annotations.Nullable;

/** Accepts connections on one address and hands their pipelines to a set-up function. */
public final class HttpListener implements Service {

  private final ServingLoop loop;
  private final HostPort address;
  private final Consumer<ChannelPipeline> setUp;
  private final Optional<ServerSocketChannel> socket;
  private @Nullable Channel listening;

  /**
   * Creates a listener.
   *
   * @param loop serves the connections
   * @param address where connections are accepted
   * @param setUp adds the handlers of a connection
   */
  public HttpListener(ServingLoop loop, HostPort address, Consumer<ChannelPipeline> setUp) {
    this(loop, address, Optional.empty(), setUp);
  }

  /**
   * Creates a listener that takes over a socket which was opened before.
   *
   * @param loop serves the connections
   * @param address where connections are accepted
   * @param socket listens at that address already, if present
   * @param setUp adds the handlers of a connection
   */
  public HttpListener(
      ServingLoop loop,
      HostPort address,
      Optional<ServerSocketChannel> socket,
      Consumer<ChannelPipeline> setUp) {
    this.loop = loop;
    this.address = address;
    this.socket = socket;
    this.setUp = setUp;
  }

  @Override
  public void start() {
    ServerBootstrap server =
        KeepAliveProbes.on(new ServerBootstrap())
            .group(loop.eventLoop())
            .channelFactory(
                () ->
                    socket
                        .map(open -> new NioServerSocketChannel(open))
                        .orElseGet(NioServerSocketChannel::new))
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, EarlySocket.BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    setUp.accept(channel.pipeline());
                  }
                });
    if (socket.isPresent()) {
      // Begins to accept once the loop gets to it; may be called by the loop itself.
      listening = server.register().channel();
      return;
    }
    listening =
        server
            .bind(new InetSocketAddress(address.host(), address.port()))
            .syncUninterruptibly()
            .channel();
  }

  @Override
  public void stop() {
    Channel channel = listening;
    listening = null;
    if (channel != null) {
      channel.close();
    }
  }

  /** Returns the port that connections are accepted on. */
  public int port() {
    Channel channel = listening;
    if (channel == null) {
      throw new IllegalStateException("start the listener first");
    }
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }
}
