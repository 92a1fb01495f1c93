package org.coltsfootvale.protocol;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.wire.Envelope;

/** The part of an authenticated channel that both sides share. */
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
   * Takes a message.
   *
   * @throws IllegalArgumentException if no peer sends such a message here
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
      LOGGER.atWarning().log("closed the connection to %s: %s", peer, cause.getMessage());
    }
    var unused = channel.close();
  }

  /** Closes a channel that has been silent for too long. */
  void closeSilent(ChannelHandlerContext channel) {
    context.counters().connectionsSilent.increment();
    LOGGER.atInfo().log("closed the silent connection to %s", peer);
    var unused = channel.close();
  }

  /** Counts and sends a message. */
  void send(ChannelHandlerContext channel, Envelope message) {
    context.counters().sent(message);
    var unused = channel.writeAndFlush(message);
  }
}
