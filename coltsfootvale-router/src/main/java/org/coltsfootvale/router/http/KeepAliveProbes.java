package org.coltsfootvale.router.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Keep-alive probes of TCP, by which a connection that something between its ends has forgotten
 * ends within a few seconds instead of staying silent.
 */
final class KeepAliveProbes {

  private static final int IDLE_SECONDS = 1;
  private static final int INTERVAL_SECONDS = 1;
  private static final int UNANSWERED_MAX = 2;

  private KeepAliveProbes() {}

  /** Turns probes on for outgoing connections. */
  static Bootstrap on(Bootstrap bootstrap) {
    return bootstrap
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), UNANSWERED_MAX);
  }

  /** Turns probes on for accepted connections. */
  static ServerBootstrap on(ServerBootstrap bootstrap) {
    return bootstrap
        .childOption(ChannelOption.SO_KEEPALIVE, true)
        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS)
        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS)
        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), UNANSWERED_MAX);
  }
}
