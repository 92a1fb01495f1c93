package org.coltsfootvale.router.serving;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.concurrent.TimeUnit;

/** A request while it is read: its head and the received part of its body. */
final class IncomingRequest {

  /** A caller that sends a body more slowly than this occupies memory for nothing. */
  private static final long BYTES_PER_SECOND_MIN = 1_024;

  /** A rate over a shorter time would judge a small body by single delays on the network. */
  private static final long RATED_NANOS_MIN = TimeUnit.SECONDS.toNanos(3);

  private final HttpRequest head;
  private final long headBytes;
  private final int bytesMax;
  private final long receivedNanos;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private long pausedNanos;

  /**
   * Creates a request without a body.
   *
   * @param headBytes the memory that the head and what is read from it occupy
   * @param bytesMax the maximum size of the body
   * @param receivedNanos when the head was received, on the monotonic clock
   */
  IncomingRequest(HttpRequest head, long headBytes, int bytesMax, long receivedNanos) {
    this.head = head;
    this.headBytes = headBytes;
    this.bytesMax = bytesMax;
    this.receivedNanos = receivedNanos;
  }

  /** Returns whether the body has room for more bytes within its maximum size. */
  boolean accepts(ByteBuf bytes) {
    return body.readableBytes() + bytes.readableBytes() <= bytesMax;
  }

  /**
   * Returns the capacity that the body needs for more bytes. It doubles, but does not exceed the
   * announced length.
   */
  int capacityWith(ByteBuf bytes) {
    int needed = body.readableBytes() + bytes.readableBytes();
    if (needed <= body.capacity() || body.capacity() == 0) {
      return Math.max(needed, body.capacity());
    }
    long announced = HttpUtil.getContentLength(head, (long) bytesMax);
    long useful = Math.max(needed, Math.min(announced, bytesMax));
    return (int) Math.min(useful, Math.max(needed, 2L * body.capacity()));
  }

  /** Returns the memory that the request occupies with a body of the given capacity. */
  long heldBytes(int capacity) {
    return headBytes + capacity;
  }

  /** Adds bytes, after enlarging the body to a capacity that has room for them. */
  void append(ByteBuf bytes, int capacity) {
    if (!bytes.isReadable()) {
      return;
    }
    if (body == Unpooled.EMPTY_BUFFER) {
      body = Unpooled.buffer(capacity, bytesMax);
    } else if (body.capacity() < capacity) {
      body.capacity(capacity);
    }
    body.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
  }

  HttpRequest head() {
    return head;
  }

  ByteBuf body() {
    return body;
  }

  /** Returns when the head was received, on the monotonic clock. */
  long receivedNanos() {
    return receivedNanos;
  }

  /** Records that the router has not read from the caller for a while. */
  void onPaused(long nanos) {
    pausedNanos += nanos;
  }

  /** Returns whether the body arrives too slowly, after a grace period from the head on. */
  boolean tooSlow(long nowNanos, long graceNanos) {
    long elapsedNanos = nowNanos - receivedNanos - pausedNanos;
    return elapsedNanos > Math.max(graceNanos, RATED_NANOS_MIN)
        && body.readableBytes()
            < TimeUnit.NANOSECONDS.toMillis(elapsedNanos) * BYTES_PER_SECOND_MIN / 1_000;
  }

  void release() {
    body.release();
  }
}
