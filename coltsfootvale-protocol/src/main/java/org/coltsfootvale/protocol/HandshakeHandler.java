package org.coltsfootvale.protocol;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.coltsfootvale.protocol.wire.Envelope;
import org.jspecify.annotations.Nullable;

/** The part of the handshake that both sides share: its timeout and its failure. */
abstract class HandshakeHandler extends SimpleChannelInboundHandler<Envelope> {

  final TransportContext context;
  private boolean ended;
  private @Nullable ScheduledFuture<?> timeout;

  /** Creates a handshake. */
  HandshakeHandler(TransportContext context) {
    super(Envelope.class);
    this.context = context;
  }

  /** Starts the handshake on an open channel. */
  void begin(ChannelHandlerContext channel) {}

  /** Tells that the handshake has failed; the channel is being closed. */
  void onRefused() {}

  @Override
  public void channelActive(ChannelHandlerContext channel) {
    long timeoutMillis = context.options().connectTimeout().toMillis();
    timeout =
        channel.executor().schedule(() -> refuse(channel), timeoutMillis, TimeUnit.MILLISECONDS);
    begin(channel);
  }

  @Override
  public void channelInactive(ChannelHandlerContext channel) {
    refuse(channel);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
    if (!(cause instanceof java.io.IOException)) {
      context.counters().framesInvalid.increment();
    }
    refuse(channel);
  }

  /** Sends a message of the handshake. */
  void send(ChannelHandlerContext channel, Envelope message) {
    context.counters().sent(message);
    var unused = channel.writeAndFlush(message);
  }

  /** Ends the handshake well; to be called before the handler is replaced. */
  void succeed() {
    ended = true;
    if (timeout != null) {
      timeout.cancel(false);
    }
  }

  /** Ends the handshake with a failure and closes the channel; later calls do nothing. */
  void refuse(ChannelHandlerContext channel) {
    if (ended) {
      return;
    }
    succeed();
    context.counters().connectionsRefused.increment();
    var unused = channel.close();
    onRefused();
  }
}
