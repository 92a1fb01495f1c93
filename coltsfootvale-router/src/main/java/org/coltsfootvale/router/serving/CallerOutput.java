package org.coltsfootvale.router.serving;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.overload.CallerCharge;

/** What is written to a caller, and how much of it the caller has not read. */
final class CallerOutput {

  private final Channel channel;
  private final CallerCharge charge;
  private final LongSupplier nanoTime;
  private final Runnable onSent;
  private int unwrittenAnswers;
  private long unwrittenBytes;
  private long lastActivityNanos;
  private boolean ended;

  /**
   * Creates an output to which nothing has been written.
   *
   * @param onSent called when the end of an answer is sent
   */
  CallerOutput(Channel channel, CallerCharge charge, LongSupplier nanoTime, Runnable onSent) {
    this.channel = channel;
    this.charge = charge;
    this.nanoTime = nanoTime;
    this.onSent = onSent;
    this.lastActivityNanos = nanoTime.getAsLong();
  }

  /** Writes a part of an answer, to be sent with the next flush. */
  void write(Object part) {
    channel.write(part);
  }

  void flush() {
    channel.flush();
    updateUnsent();
  }

  /** Writes the end of an answer, and keeps the connection from being idle until it is sent. */
  void writeLast(Object last) {
    lastActivityNanos = nanoTime.getAsLong();
    unwrittenAnswers++;
    var unused =
        channel
            .writeAndFlush(last)
            .addListener(
                written -> {
                  lastActivityNanos = nanoTime.getAsLong();
                  unwrittenAnswers--;
                  onSent.run();
                });
    updateUnsent();
  }

  /** Returns whether all answers are sent. */
  boolean sent() {
    return unwrittenAnswers == 0;
  }

  /** Tells the caller that no answer follows once all are sent. */
  void endIfSent() {
    if (!ended && sent() && channel.isActive()) {
      ended = true;
      channel.config().setAutoRead(true);
      ((SocketChannel) channel).shutdownOutput();
    }
  }

  boolean ended() {
    return ended;
  }

  /** Charges the answers that are not sent; it is activity if the caller has read a part. */
  void updateUnsent() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    long held = buffer == null ? 0 : buffer.totalPendingWriteBytes();
    long remaining = buffer == null ? 0 : held - buffer.currentProgress();
    if (remaining != unwrittenBytes || held != charge.get(CallerCharge.Use.UNSENT_RESPONSE)) {
      unwrittenBytes = remaining;
      lastActivityNanos = nanoTime.getAsLong();
      charge.setUnsent(held, remaining, lastActivityNanos);
    }
  }

  /** Returns when an answer was last written or read, on the monotonic clock. */
  long lastActivityNanos() {
    return lastActivityNanos;
  }
}
