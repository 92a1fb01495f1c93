package org.coltsfootvale.router.serving;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Buffers the body of a replica's answer on its way to the caller, which gets it when it is
 * complete, in parts, or event by event.
 */
final class AnswerBody {

  /** Maximum size of an answer that is buffered until it is complete. */
  private static final int HELD_BYTES_MAX = 4 * 1024 * 1024;

  /** Maximum number of bytes, comments included, that may arrive without completing an event. */
  private static final int EVENTLESS_BYTES_MAX = 256 * 1024;

  private final EventSplitter events = new EventSplitter();
  private ByteBuf held = Unpooled.EMPTY_BUFFER;
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
      if (held == Unpooled.EMPTY_BUFFER) {
        held = Unpooled.buffer(content.readableBytes());
      }
      held.writeBytes(content, content.readerIndex(), content.readableBytes());
    }
  }

  /** Returns whether the received bytes exceed the limit of a buffered body or of an event. */
  boolean overflows() {
    return held.readableBytes() > HELD_BYTES_MAX
        || events.pendingBytes() + commentBytes > EVENTLESS_BYTES_MAX;
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
    ByteBuf taken = held;
    held = Unpooled.EMPTY_BUFFER;
    return taken;
  }

  /** Returns whether a stream has ended within an event. */
  boolean cut() {
    return byEvents && events.hasRest();
  }

  /** Returns an empty body. */
  ByteBuf none() {
    return Unpooled.EMPTY_BUFFER;
  }

  void release() {
    events.clear();
    held.release();
    held = Unpooled.EMPTY_BUFFER;
  }
}
