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
 * The connection to one peer address, opened on demand. What waits for it is sent in order once the
 * peer is authenticated; if it cannot be opened, all of that fails at once and later attempts
 * pause.
 */
final class PeerConnection {

  private static final long STREAM_QUEUE_FACTOR = 16;

  private final HostPort address;
  private final TransportContext context;
  private final Bootstrap bootstrap;
  private final EventLoop loop;
  private final AtomicLong queuedBytes = new AtomicLong();
  private final Deque<Outbound> waiting = new ArrayDeque<>();
  private @Nullable ClientChannel ready;
  private boolean connecting;
  private boolean stopped;
  private Duration backoff;
  private volatile Instant retryAt = Instant.EPOCH;
  private volatile Instant usedAt;

  /** Creates a connection that is not open. */
  PeerConnection(HostPort address, TransportContext context, Bootstrap bootstrap, EventLoop loop) {
    this.address = address;
    this.context = context;
    this.loop = loop;
    this.backoff = context.options().backoffMin();
    this.usedAt = context.clock().instant();
    this.bootstrap = bootstrap.clone(loop).handler(initializer());
  }

  /** Returns the event loop that calls listeners. */
  EventLoop loop() {
    return loop;
  }

  /** Returns the time of the last use. */
  Instant usedAt() {
    return usedAt;
  }

  /** Queues a one-way message unless the queue is full or the peer cannot be reached. */
  boolean offer(OneWayMessage message) {
    boolean full = queuedBytes.get() > context.options().sendQueueBytesMax();
    if (full || isBackingOff()) {
      context.counters().messagesDropped.increment();
      return false;
    }
    submit(message);
    return true;
  }

  /** Queues a request or a stream; it fails if the peer cannot be reached. */
  void submit(Outbound outbound) {
    usedAt = context.clock().instant();
    queuedBytes.addAndGet(outbound.queuedBytes());
    loop.execute(() -> accept(outbound));
  }

  /** Closes the connection and fails what waits for it. */
  void stop() {
    loop.execute(
        () -> {
          stopped = true;
          failWaiting(ErrorKind.SHUTTING_DOWN, "This router is stopping.");
          if (ready != null) {
            var unused = ready.channel().close();
          }
        });
  }

  private boolean isBackingOff() {
    return context.clock().instant().isBefore(retryAt);
  }

  private void accept(Outbound outbound) {
    boolean overfull =
        queuedBytes.get() > STREAM_QUEUE_FACTOR * context.options().sendQueueBytesMax();
    if (stopped || overfull || (ready == null && !connecting && isBackingOff())) {
      release(outbound);
      outbound.onNotSent(unreachable());
      return;
    }
    waiting.addLast(outbound);
    drain();
  }

  private void drain() {
    ClientChannel channel = ready;
    if (channel == null) {
      connect();
      return;
    }
    List<Outbound> unproven = new ArrayList<>();
    while (!waiting.isEmpty()) {
      Outbound outbound = waiting.removeFirst();
      if (outbound.needsProvenConnection() && !channel.isProven()) {
        unproven.add(outbound);
      } else {
        release(outbound);
        outbound.writeTo(channel);
      }
    }
    waiting.addAll(unproven);
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
            onFailed();
          }
        });
  }

  private ChannelInitializer<SocketChannel> initializer() {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        PeerPipeline.beginHandshake(
            channel.pipeline(),
            new ClientHandshake(
                context, PeerConnection.this::onReady, PeerConnection.this::onFailed));
      }
    };
  }

  private void onReady(ClientChannel channel) {
    connecting = false;
    backoff = context.options().backoffMin();
    retryAt = Instant.EPOCH;
    ready = channel;
    channel.whenProven(this::drain);
    channel.channel().closeFuture().addListener(future -> onClosed(channel));
    drain();
  }

  private void onClosed(ClientChannel channel) {
    if (ready == channel) {
      ready = null;
      if (!waiting.isEmpty()) {
        connect();
      }
    }
  }

  private void onFailed() {
    connecting = false;
    retryAt = context.clock().instant().plus(backoff);
    Duration doubled = backoff.multipliedBy(2);
    Duration max = context.options().backoffMax();
    backoff = doubled.compareTo(max) < 0 ? doubled : max;
    failWaiting(ErrorKind.BACKEND_FAILED, "No connection to " + address + " could be opened.");
  }

  private void failWaiting(ErrorKind kind, String detail) {
    List<Outbound> failed = new ArrayList<>(waiting);
    waiting.clear();
    for (Outbound outbound : failed) {
      release(outbound);
      outbound.onNotSent(ColtsfootvaleException.notRun(kind, detail));
    }
  }

  private ColtsfootvaleException unreachable() {
    return ColtsfootvaleException.notRun(
        ErrorKind.BACKEND_FAILED, "The peer at " + address + " cannot be reached now.");
  }

  private void release(Outbound outbound) {
    queuedBytes.addAndGet(-outbound.queuedBytes());
  }
}
