package org.coltsfootvale.router.serving;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The body of a replica's answer on its way to the caller: held until it is whole, or passed on in
 * parts, or event by event.
 */
final class AnswerBody {

  /** The largest answer that is held until it is whole. */
  private static final int HELD_BYTES_MAX = 4 * 1024 * 1024;

  /** The bytes that may arrive, comments included, without making a whole event. */
  private static final int EVENTLESS_BYTES_MAX = 256 * 1024;

  private final EventSplitter events = new EventSplitter();
  private ByteBuf held = Unpooled.EMPTY_BUFFER;
  private boolean streamed;
  private boolean byEvents;
  private int commentBytes;

  /** Starts a body. */
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

  /** Takes bytes as they arrive. */
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

  /** Returns whether more has arrived than may be held, or than an event may take. */
  boolean overflows() {
    return held.readableBytes() > HELD_BYTES_MAX
        || events.pendingBytes() + commentBytes > EVENTLESS_BYTES_MAX;
  }

  /** Returns the next part to pass on, or an empty buffer; comments alone are no part. */
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

  /** Returns all that is held. */
  ByteBuf takeBody() {
    ByteBuf taken = held;
    held = Unpooled.EMPTY_BUFFER;
    return taken;
  }

  /** Returns whether a stream has ended in the midst of an event. */
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
