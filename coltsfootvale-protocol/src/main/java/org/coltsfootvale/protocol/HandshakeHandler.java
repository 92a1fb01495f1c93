package org.coltsfootvale.protocol;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.coltsfootvale.protocol.wire.Envelope;
import org.jspecify.annotations.Nullable;

/** Base class of both sides of the handshake; handles its timeout and failure. */
abstract class HandshakeHandler extends SimpleChannelInboundHandler<Envelope> {

  final TransportContext context;
  private boolean ended;
  private @Nullable ScheduledFuture<?> timeout;

  /** Creates a handshake. */
  HandshakeHandler(TransportContext context) {
    super(Envelope.class);
    this.context = context;
  }

  /** Called when the channel is active; does nothing by default. */
  void begin(ChannelHandlerContext channel) {}

  /** Called once when the handshake has failed and the channel is closing. */
  void onFailed() {}

  @Override
  public void channelActive(ChannelHandlerContext channel) {
    long timeoutMillis = context.options().connectTimeout().toMillis();
    timeout =
        channel
            .executor()
            .schedule(() -> failHandshake(channel), timeoutMillis, TimeUnit.MILLISECONDS);
    begin(channel);
  }

  @Override
  public void channelInactive(ChannelHandlerContext channel) {
    failHandshake(channel);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
    if (!(cause instanceof java.io.IOException)) {
      context.counters().framesInvalid.increment();
    }
    failHandshake(channel);
  }

  /** Counts and sends a message. */
  void send(ChannelHandlerContext channel, Envelope message) {
    context.counters().sent(message);
    var unused = channel.writeAndFlush(message);
  }

  /** Ends the handshake and cancels its timeout. Must be called before the handler is replaced. */
  void finish() {
    ended = true;
    if (timeout != null) {
      timeout.cancel(false);
    }
  }

  /** Fails the handshake and closes the channel, unless the handshake has already ended. */
  void failHandshake(ChannelHandlerContext channel) {
    if (ended) {
      return;
    }
    finish();
    context.counters().connectionsRefused.increment();
    var unused = channel.close();
    onFailed();
  }
}
