package org.coltsfootvale.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A connection that this router has opened. Records whether the peer has ended its data: a channel
 * also becomes inactive after a reset that a write or the event loop notices, and after a close by
 * this router, all of which cut an answer that ends with its connection.
 */
final class ClientSocketChannel extends NioSocketChannel {

  private boolean endOfStream;

  /** Returns whether a connection has closed without the end of the peer's data being read. */
  static boolean lost(Channel connection) {
    return !connection.isActive()
        && connection instanceof ClientSocketChannel opened
        && !opened.endOfStream;
  }

  @Override
  protected int doReadBytes(ByteBuf buffer) throws Exception {
    int bytes = super.doReadBytes(buffer);
    endOfStream |= bytes < 0;
    return bytes;
  }
}
