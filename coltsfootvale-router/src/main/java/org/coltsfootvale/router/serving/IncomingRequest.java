package org.coltsfootvale.router.serving;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;

/** A request while it is read: its head and the received part of its body. */
final class IncomingRequest {

  private final HttpRequest head;
  private final int bytesMax;
  private final long receivedNanos;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;

  IncomingRequest(HttpRequest head, int bytesMax, long receivedNanos) {
    this.head = head;
    this.bytesMax = bytesMax;
    this.receivedNanos = receivedNanos;
  }

  /** Adds bytes; returns false if the body is larger than allowed. */
  boolean append(ByteBuf bytes) {
    if (!bytes.isReadable()) {
      return true;
    }
    if (body.readableBytes() + bytes.readableBytes() > bytesMax) {
      return false;
    }
    if (body == Unpooled.EMPTY_BUFFER) {
      body = Unpooled.buffer(bytes.readableBytes(), bytesMax);
    }
    body.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
    return true;
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

  void release() {
    body.release();
  }
}
