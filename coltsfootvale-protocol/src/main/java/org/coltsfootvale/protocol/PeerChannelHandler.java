package org.coltsfootvale.protocol;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.wire.Envelope;

/** Base class of the handlers of authenticated channels. */
abstract class PeerChannelHandler extends SimpleChannelInboundHandler<Envelope> {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  final TransportContext context;
  final RouterIncarnation peer;

  /** Creates a handler for the channel to a peer. */
  PeerChannelHandler(TransportContext context, RouterIncarnation peer) {
    super(Envelope.class);
    this.context = context;
    this.peer = peer;
  }

  /**
   * Handles a message.
   *
   * @throws IllegalArgumentException if this side does not accept such a message
   */
  abstract void onEnvelope(ChannelHandlerContext channel, Envelope message);

  @Override
  protected void channelRead0(ChannelHandlerContext channel, Envelope message) {
    context.counters().received(message);
    onEnvelope(channel, message);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
    if (!(cause instanceof IOException)) {
      context.counters().framesInvalid.increment();
      LOGGER.atWarning().log(
          "closing the connection to %s after a protocol error: %s", peer, cause.getMessage());
    }
    var unused = channel.close();
  }

  /** Closes and counts a channel whose peer has sent nothing within the timeout. */
  void closeUnresponsive(ChannelHandlerContext channel) {
    context.counters().connectionsSilent.increment();
    LOGGER.atInfo().log("closing the connection to %s: no message within the timeout", peer);
    var unused = channel.close();
  }

  /** Counts and sends a message. */
  void send(ChannelHandlerContext channel, Envelope message) {
    context.counters().sent(message);
    var unused = channel.writeAndFlush(message);
  }
}
