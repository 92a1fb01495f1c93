package org.coltsfootvale.router.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a connection on which data arrives while no request awaits an answer. Otherwise the
 * decoder behind it would buffer the start of an answer and attribute it to the next request.
 */
final class UnsolicitedDataHandler extends ChannelInboundHandlerAdapter {

  private final ReplicaConnection connection;

  UnsolicitedDataHandler(ReplicaConnection connection) {
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (connection.awaitsAnswer()) {
      context.fireChannelRead(message);
    } else {
      ReferenceCountUtil.release(message);
      connection.cancel();
    }
  }
}
