package org.coltsfootvale.router.serving;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/** Splits the body of an event stream into whole events. */
final class EventSplitter {

  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final String ID_FIELD = "id:";

  private final ByteBuf pending = Unpooled.buffer();
  private int scanned;

  /** Adds bytes of the body. */
  void add(ByteBuf bytes) {
    pending.discardReadBytes();
    pending.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
  }

  /**
   * Returns the length of the first whole event, its blank line included, or 0 if there is none.
   */
  private int eventLength() {
    int lineStart = scanned;
    for (int i = lineStart; i < pending.readableBytes(); i++) {
      if (pending.getByte(pending.readerIndex() + i) == LINE_FEED) {
        if (i > 0 && blank(lineStart, i)) {
          return i + 1;
        }
        lineStart = i + 1;
        scanned = lineStart;
      }
    }
    return 0;
  }

  private boolean blank(int lineStart, int lineEnd) {
    int length = lineEnd - lineStart;
    return length == 0
        || (length == 1 && pending.getByte(pending.readerIndex() + lineStart) == CARRIAGE_RETURN);
  }

  /** Returns the next whole event as a copy of its bytes, or an empty buffer if there is none. */
  ByteBuf next() {
    int length = eventLength();
    if (length == 0) {
      return Unpooled.EMPTY_BUFFER;
    }
    scanned = 0;
    return Unpooled.copiedBuffer(pending.readSlice(length));
  }

  /** Returns whether bytes are left that make no whole event. */
  boolean hasRest() {
    return pending.isReadable();
  }

  /** Forgets the bytes that make no whole event. */
  void clear() {
    pending.clear();
    scanned = 0;
  }

  /** Reads the id of an event, if it has one that is a number. */
  static OptionalLong idOf(ByteBuf event) {
    for (String line : event.toString(StandardCharsets.UTF_8).split("\r?\n")) {
      if (line.startsWith(ID_FIELD)) {
        return parse(line.substring(ID_FIELD.length()).strip());
      }
    }
    return OptionalLong.empty();
  }

  private static OptionalLong parse(String text) {
    try {
      return OptionalLong.of(Long.parseLong(text));
    } catch (NumberFormatException ignored) {
      // An id that is no number names no place in a numbered stream.
      return OptionalLong.empty();
    }
  }
}
