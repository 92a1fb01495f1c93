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

/** An authenticated connection to a peer. All state belongs to the channel's event loop. */
final class ClientChannel extends PeerChannelHandler {

  private final Channel channel;
  private final Map<Long, ReplyReceiver> receivers = new HashMap<>();
  private Runnable onProven = () -> {};
  private Instant usedAt;
  private long lastCorrelation;
  private int unansweredHeartbeats;

  /** Creates the handler of a channel. */
  ClientChannel(TransportContext context, RouterIncarnation peer, Channel channel) {
    super(context, peer);
    this.channel = channel;
    usedAt = context.clock().instant();
  }

  /** Runs an action whenever the peer answers after an unanswered heartbeat. */
  void whenProven(Runnable action) {
    onProven = action;
  }

  /** Tells whether the peer has answered the last heartbeat. */
  boolean isProven() {
    return unansweredHeartbeats == 0 && channel.isActive();
  }

  /** Returns the channel. */
  Channel channel() {
    return channel;
  }

  /** Registers a receiver and returns its correlation. */
  long register(ReplyReceiver receiver) {
    lastCorrelation++;
    receivers.put(lastCorrelation, receiver);
    return lastCorrelation;
  }

  /** Drops later messages of a correlation. May be called on any thread. */
  void forget(long correlation) {
    if (channel.eventLoop().inEventLoop()) {
      receivers.remove(correlation);
    } else {
      channel.eventLoop().execute(() -> receivers.remove(correlation));
    }
  }

  /** Sends a message. */
  void write(Envelope message) {
    usedAt = context.clock().instant();
    context.counters().sent(message);
    var unused = channel.writeAndFlush(message);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext channelContext, Envelope message) {
    boolean wasProven = isProven();
    unansweredHeartbeats = 0;
    super.channelRead0(channelContext, message);
    if (!wasProven) {
      onProven.run();
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
    Duration unanswered = context.options().heartbeat().multipliedBy(unansweredHeartbeats + 1L);
    if (unanswered.compareTo(context.options().silence()) >= 0) {
      closeSilent(channelContext);
    } else if (isUnused()) {
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
    lost.forEach(ReplyReceiver::onLost);
  }

  private void dispatch(Envelope message) {
    ReplyReceiver receiver = receivers.get(message.getCorrelation());
    if (receiver != null && receiver.onReply(message)) {
      receivers.remove(message.getCorrelation());
    }
  }

  private boolean isUnused() {
    Instant unusedSince = context.clock().instant().minus(context.options().idle());
    return receivers.isEmpty() && usedAt.isBefore(unusedSince);
  }
}
