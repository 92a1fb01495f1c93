package org.coltsfootvale.router.serving;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import org.jspecify.annotations.Nullable;

/**
 * Buffers the body of a replica's answer on its way to the caller, which gets it when it is
 * complete, in parts, or event by event.
 */
final class AnswerBody {

  /** Maximum size of an answer that is buffered until it is complete. */
  private static final int BUFFERED_BYTES_MAX = 4 * 1024 * 1024;

  /** Maximum number of bytes, comments included, that may arrive without completing an event. */
  private static final int INCOMPLETE_EVENT_BYTES_MAX = 256 * 1024;

  /** The unused part of a buffer above which it is worth a copy to free it. */
  private static final int UNUSED_BYTES_MAX = 64 * 1024;

  private final AnswerRoom room;
  private final EventSplitter events = new EventSplitter();
  private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
  private boolean streamed;
  private boolean byEvents;
  private int commentBytes;
  private @Nullable HttpResponse head;

  /**
   * Creates an empty body.
   *
   * @param room charges the memory of the buffers
   */
  AnswerBody(AnswerRoom room) {
    this.room = room;
  }

  void begin(HttpResponse response, boolean inParts, boolean inEvents) {
    head = response;
    streamed = inParts;
    byEvents = inParts && inEvents;
  }

  boolean streamed() {
    return streamed;
  }

  boolean byEvents() {
    return byEvents;
  }

  /** Adds received bytes. */
  void add(ByteBuf content) {
    if (byEvents) {
      events.add(content);
    } else if (content.isReadable()) {
      int needed = buffered.readableBytes() + content.readableBytes();
      if (streamed) {
        enlarge(needed);
      } else if (needed > buffered.capacity()) {
        enlarge(room.admit(needed, capacityFor(needed), this));
      }
      buffered.writeBytes(content, content.readerIndex(), content.readableBytes());
    }
  }

  /** Returns the announced length, or twice the current one if none is announced. */
  private int capacityFor(int needed) {
    long announced = head == null ? -1 : HttpUtil.getContentLength(head, -1L);
    long wanted = announced < 0 ? 2L * buffered.capacity() : announced;
    return (int) Math.max(needed, Math.min(wanted, BUFFERED_BYTES_MAX));
  }

  /** Uses the room that the response has waited for. */
  void onGranted(int capacity) {
    if (!streamed) {
      enlarge(capacity);
    }
  }

  private void enlarge(int capacity) {
    if (buffered == Unpooled.EMPTY_BUFFER) {
      buffered = Unpooled.buffer(capacity);
    } else if (buffered.capacity() < capacity) {
      buffered.capacity(capacity);
    }
  }

  /** Charges what is kept of a stream after its complete parts were delivered. */
  void chargeRest() {
    int rest = events.capacity();
    room.admit(rest, rest, this);
  }

  /** Returns whether the received bytes exceed the limit of a buffered body or of an event. */
  boolean overflows() {
    return buffered.readableBytes() > BUFFERED_BYTES_MAX
        || events.pendingBytes() + commentBytes > INCOMPLETE_EVENT_BYTES_MAX;
  }

  /** Returns the next part to deliver, or an empty buffer; comments alone make no part. */
  ByteBuf nextPart() {
    if (!byEvents) {
      return takeBody();
    }
    ByteBuf event = events.next();
    while (event.isReadable() && !EventSplitter.hasField(event)) {
      commentBytes += event.readableBytes();
      event = events.next();
    }
    if (event.isReadable()) {
      commentBytes = 0;
    }
    return event;
  }

  /** Removes and returns the buffered bytes. */
  ByteBuf takeBody() {
    ByteBuf content = buffered;
    if (content.capacity() - content.readableBytes() > UNUSED_BYTES_MAX) {
      content.capacity(content.writerIndex());
    }
    buffered = Unpooled.EMPTY_BUFFER;
    return content;
  }

  /** Returns whether a stream has ended within an event. */
  boolean truncated() {
    return byEvents && events.hasIncompleteEvent();
  }

  /** Returns an empty body. */
  ByteBuf empty() {
    return Unpooled.EMPTY_BUFFER;
  }

  void release() {
    events.clear();
    buffered.release();
    buffered = Unpooled.EMPTY_BUFFER;
    room.end();
  }
}
