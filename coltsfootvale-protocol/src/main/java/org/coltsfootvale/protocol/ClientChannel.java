package org.coltsfootvale.protocol;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.IdleStateEvent;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.Ping;

/**
 * An authenticated connection that this router has opened to a peer. Its state is confined to the
 * channel's event loop.
 */
final class ClientChannel extends PeerChannelHandler {

  private final Channel channel;
  private final Map<Long, ReplyReceiver> receivers = new HashMap<>();
  private Runnable responsiveListener = () -> {};
  private Instant lastUsedAt;
  private long lastCorrelation;
  private int unansweredHeartbeats;

  /** Creates a handler for an authenticated channel. */
  ClientChannel(TransportContext context, RouterIncarnation peer, Channel channel) {
    super(context, peer);
    this.channel = channel;
    lastUsedAt = context.clock().instant();
  }

  /** Sets the action that runs whenever the peer responds after an unanswered heartbeat. */
  void setResponsiveListener(Runnable action) {
    responsiveListener = action;
  }

  /** Returns whether the channel is open and no heartbeat is unanswered. */
  boolean isResponsive() {
    return unansweredHeartbeats == 0 && channel.isActive();
  }

  /** Returns the channel. */
  Channel channel() {
    return channel;
  }

  /** Registers a receiver and returns the correlation ID of its messages. */
  long register(ReplyReceiver receiver) {
    lastCorrelation++;
    receivers.put(lastCorrelation, receiver);
    return lastCorrelation;
  }

  /** Removes a receiver; later messages for it are discarded. Thread-safe. */
  void unregister(long correlation) {
    if (channel.eventLoop().inEventLoop()) {
      receivers.remove(correlation);
    } else {
      channel.eventLoop().execute(() -> receivers.remove(correlation));
    }
  }

  /** Sends a message and records the time of use. */
  void write(Envelope message) {
    lastUsedAt = context.clock().instant();
    context.counters().sent(message);
    var unused = channel.writeAndFlush(message);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext channelContext, Envelope message) {
    boolean wasResponsive = isResponsive();
    unansweredHeartbeats = 0;
    super.channelRead0(channelContext, message);
    if (!wasResponsive) {
      responsiveListener.run();
    }
  }

  @Override
  void onEnvelope(ChannelHandlerContext channelContext, Envelope message) {
    switch (message.getBodyCase()) {
      case PONG -> context.handler().onPeerAlive(peer);
      case SHARE_GRANT,
          NOTES_REPLY,
          PREFIX_REPLY,
          SERVING_NEWS,
          FORWARD_HEAD,
          FORWARD_BODY,
          FORWARD_END,
          FAILURE ->
          dispatch(message);
      default -> throw new IllegalArgumentException("unexpected message: " + message.getBodyCase());
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext channelContext, Object event) {
    if (!(event instanceof IdleStateEvent)) {
      return;
    }
    Duration unansweredFor =
        context.options().heartbeatInterval().multipliedBy(unansweredHeartbeats + 1L);
    if (unansweredFor.compareTo(context.options().peerTimeout()) >= 0) {
      closeUnresponsive(channelContext);
    } else if (isIdle()) {
      var unused = channelContext.close();
    } else {
      unansweredHeartbeats++;
      send(channelContext, Envelope.newBuilder().setPing(Ping.getDefaultInstance()).build());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext channelContext) {
    List<ReplyReceiver> lost = new ArrayList<>(receivers.values());
    receivers.clear();
    lost.forEach(ReplyReceiver::onConnectionLost);
  }

  private void dispatch(Envelope message) {
    ReplyReceiver receiver = receivers.get(message.getCorrelation());
    if (receiver != null && receiver.onReply(message)) {
      receivers.remove(message.getCorrelation());
    }
  }

  private boolean isIdle() {
    Instant idleCutoff = context.clock().instant().minus(context.options().idleTimeout());
    return receivers.isEmpty() && lastUsedAt.isBefore(idleCutoff);
  }
}
