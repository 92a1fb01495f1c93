package org.coltsfootvale.protocol;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.HostPort;
import org.jspecify.annotations.Nullable;

/**
 * The connection to one peer address, opened on demand. Queued messages are sent in order once the
 * peer is authenticated. If the connection cannot be opened, they fail immediately and later
 * attempts are delayed by an exponential backoff.
 */
final class PeerConnection {

  private static final long STREAM_QUEUE_FACTOR = 16;

  private final HostPort address;
  private final TransportContext context;
  private final Bootstrap bootstrap;
  private final EventLoop eventLoop;
  private final AtomicLong queuedBytes = new AtomicLong();
  private final Deque<OutboundMessage> sendQueue = new ArrayDeque<>();
  private @Nullable ClientChannel activeChannel;
  private boolean connecting;
  private boolean stopped;
  private Duration backoff;
  private volatile Instant retryAt = Instant.EPOCH;
  private volatile Instant lastUsedAt;

  /** Creates a connection without opening it. */
  PeerConnection(HostPort address, TransportContext context, Bootstrap bootstrap, EventLoop loop) {
    this.address = address;
    this.context = context;
    this.eventLoop = loop;
    this.backoff = context.options().backoffMin();
    this.lastUsedAt = context.clock().instant();
    this.bootstrap = bootstrap.clone(loop).handler(channelInitializer());
  }

  /** Returns the event loop that calls listeners and reply receivers. */
  EventLoop eventLoop() {
    return eventLoop;
  }

  /** Returns the time of the last submitted message. */
  Instant lastUsedAt() {
    return lastUsedAt;
  }

  /** Queues a one-way message; drops it if the queue is full or a backoff is in progress. */
  boolean offer(OneWayMessage message) {
    boolean full = queuedBytes.get() > context.options().sendQueueBytesMax();
    if (full || isBackingOff()) {
      context.counters().messagesDropped.increment();
      return false;
    }
    submit(message);
    return true;
  }

  /** Queues a message; its {@code onNotSent} is called if the peer cannot be reached. */
  void submit(OutboundMessage message) {
    lastUsedAt = context.clock().instant();
    queuedBytes.addAndGet(message.queuedBytes());
    eventLoop.execute(() -> enqueue(message));
  }

  /** Closes the connection and fails all queued messages. */
  void stop() {
    eventLoop.execute(
        () -> {
          stopped = true;
          failQueued(ErrorKind.SHUTTING_DOWN, "This router is stopping.");
          if (activeChannel != null) {
            var unused = activeChannel.channel().close();
          }
        });
  }

  private boolean isBackingOff() {
    return context.clock().instant().isBefore(retryAt);
  }

  private void enqueue(OutboundMessage message) {
    boolean queueFull =
        queuedBytes.get() > STREAM_QUEUE_FACTOR * context.options().sendQueueBytesMax();
    if (stopped || queueFull || (activeChannel == null && !connecting && isBackingOff())) {
      subtractQueuedBytes(message);
      message.onNotSent(unreachable());
      return;
    }
    sendQueue.addLast(message);
    flush();
  }

  private void flush() {
    ClientChannel channel = activeChannel;
    if (channel == null) {
      connect();
      return;
    }
    List<OutboundMessage> deferred = new ArrayList<>();
    while (!sendQueue.isEmpty()) {
      OutboundMessage message = sendQueue.removeFirst();
      if (message.requiresResponsiveConnection() && !channel.isResponsive()) {
        deferred.add(message);
      } else {
        subtractQueuedBytes(message);
        message.writeTo(channel);
      }
    }
    sendQueue.addAll(deferred);
  }

  private void connect() {
    if (connecting || stopped) {
      return;
    }
    connecting = true;
    ChannelFuture opening = bootstrap.connect(address.host(), address.port());
    opening.addListener(
        (ChannelFuture future) -> {
          if (!future.isSuccess()) {
            onConnectFailed();
          }
        });
  }

  private ChannelInitializer<SocketChannel> channelInitializer() {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        PeerPipeline.beginHandshake(
            channel.pipeline(),
            new ClientHandshake(
                context,
                PeerConnection.this::onAuthenticated,
                PeerConnection.this::onConnectFailed));
      }
    };
  }

  private void onAuthenticated(ClientChannel channel) {
    connecting = false;
    backoff = context.options().backoffMin();
    retryAt = Instant.EPOCH;
    activeChannel = channel;
    channel.setResponsiveListener(this::flush);
    channel.channel().closeFuture().addListener(future -> onClosed(channel));
    flush();
  }

  private void onClosed(ClientChannel channel) {
    if (activeChannel == channel) {
      activeChannel = null;
      if (!sendQueue.isEmpty()) {
        connect();
      }
    }
  }

  private void onConnectFailed() {
    connecting = false;
    retryAt = context.clock().instant().plus(backoff);
    Duration doubled = backoff.multipliedBy(2);
    Duration max = context.options().backoffMax();
    backoff = doubled.compareTo(max) < 0 ? doubled : max;
    failQueued(ErrorKind.BACKEND_FAILED, "No connection to " + address + " could be opened.");
  }

  private void failQueued(ErrorKind kind, String detail) {
    List<OutboundMessage> failed = new ArrayList<>(sendQueue);
    sendQueue.clear();
    for (OutboundMessage message : failed) {
      subtractQueuedBytes(message);
      message.onNotSent(ColtsfootvaleException.notRun(kind, detail));
    }
  }

  private ColtsfootvaleException unreachable() {
    return ColtsfootvaleException.notRun(
        ErrorKind.BACKEND_FAILED, "The peer at " + address + " cannot be reached now.");
  }

  private void subtractQueuedBytes(OutboundMessage message) {
    queuedBytes.addAndGet(-message.queuedBytes());
  }
}
