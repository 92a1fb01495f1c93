package org.coltsfootvale.router.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * TCP keep-alive settings, which close a connection within a few seconds after an intermediate
 * device has dropped its state, instead of leaving it silent.
 */
final class TcpKeepAlive {

  private static final int IDLE_SECONDS = 1;
  private static final int INTERVAL_SECONDS = 1;
  private static final int UNANSWERED_MAX = 2;

  private TcpKeepAlive() {}

  /** Enables probes for outgoing connections. */
  static Bootstrap enable(Bootstrap bootstrap) {
    return bootstrap
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), UNANSWERED_MAX);
  }

  /** Enables probes for accepted connections. */
  static ServerBootstrap enable(ServerBootstrap bootstrap) {
    return bootstrap
        .childOption(ChannelOption.SO_KEEPALIVE, true)
        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS)
        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS)
        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), UNANSWERED_MAX);
  }
}
