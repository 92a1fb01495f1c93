package org.coltsfootvale.router.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.support.Service;
import org.jspecify.annotations.Nullable;

/** Accepts connections on one address and configures their pipelines with a set-up function. */
public final class HttpListener implements Service {

  private static final int BACKLOG = 1_024;

  /**
   * Limits the bytes that a peer has not read but this process can no longer see. The default grows
   * to megabytes, so that a slow reader could not be told from one that has stopped.
   */
  private static final int SEND_BUFFER_BYTES = 128 * 1024;

  private final ServingLoop loop;
  private final HostPort address;
  private final Consumer<ChannelPipeline> setUp;
  private @Nullable Channel listening;

  /**
   * Creates a listener.
   *
   * @param loop the loop that serves the connections
   * @param address the address to listen on
   * @param setUp adds the handlers of a connection
   */
  public HttpListener(ServingLoop loop, HostPort address, Consumer<ChannelPipeline> setUp) {
    this.loop = loop;
    this.address = address;
    this.setUp = setUp;
  }

  @Override
  public void start() {
    ServerBootstrap server =
        TcpKeepAlive.enable(new ServerBootstrap())
            .group(loop.eventLoop())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    setUp.accept(channel.pipeline());
                  }
                });
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

  /** Returns the port that the listener is bound to. */
  public int port() {
    Channel channel = listening;
    if (channel == null) {
      throw new IllegalStateException("the listener has not been started");
    }
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }
}
