package org.coltsfootvale.router.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a connection on which bytes arrive while no request waits for an answer. The decoder
 * behind it would hold the beginning of an answer back, to be taken for that of the next request.
 */
final class UnaskedBytesGuard extends ChannelInboundHandlerAdapter {

  private final ReplicaConnection link;

  UnaskedBytesGuard(ReplicaConnection link) {
    this.link = link;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (link.awaitsAnswer()) {
      context.fireChannelRead(message);
    } else {
      ReferenceCountUtil.release(message);
      link.cancel();
    }
  }
}
