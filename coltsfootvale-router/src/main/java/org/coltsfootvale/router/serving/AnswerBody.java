package org.coltsfootvale.router.serving;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Buffers the body of a replica's answer on its way to the caller, which gets it when it is
 * complete, in parts, or event by event.
 */
final class AnswerBody {

  /** Maximum size of an answer that is buffered until it is complete. */
  private static final int BUFFERED_BYTES_MAX = 4 * 1024 * 1024;

  /** Maximum number of bytes, comments included, that may arrive without completing an event. */
  private static final int INCOMPLETE_EVENT_BYTES_MAX = 256 * 1024;

  private final EventSplitter events = new EventSplitter();
  private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
  private boolean streamed;
  private boolean byEvents;
  private int commentBytes;

  void begin(boolean inParts, boolean inEvents) {
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
      if (buffered == Unpooled.EMPTY_BUFFER) {
        buffered = Unpooled.buffer(content.readableBytes());
      }
      buffered.writeBytes(content, content.readerIndex(), content.readableBytes());
    }
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
  }
}
