package org.coltsfootvale.router.serving;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/** Splits the body of an event stream into whole events. */
final class EventSplitter {

  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final byte COLON = ':';
  private static final byte[] ID_FIELD = {'i', 'd', COLON};

  private final ByteBuf pending = Unpooled.buffer();

  /** The beginning of the line that is being read, and how far it has been read. */
  private int lineStart;

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
    int readable = pending.readableBytes();
    while (scanned < readable) {
      int found =
          pending.indexOf(
              pending.readerIndex() + scanned, pending.readerIndex() + readable, LINE_FEED);
      if (found < 0) {
        scanned = readable;
        return 0;
      }
      int lineEnd = found - pending.readerIndex();
      scanned = lineEnd + 1;
      if (lineEnd > 0 && blank(lineStart, lineEnd)) {
        return scanned;
      }
      lineStart = scanned;
    }
    return 0;
  }

  private boolean blank(int start, int end) {
    int length = end - start;
    return length == 0
        || (length == 1 && pending.getByte(pending.readerIndex() + start) == CARRIAGE_RETURN);
  }

  /** Returns the next whole event as a copy of its bytes, or an empty buffer if there is none. */
  ByteBuf next() {
    int length = eventLength();
    if (length == 0) {
      return Unpooled.EMPTY_BUFFER;
    }
    restart();
    return Unpooled.copiedBuffer(pending.readSlice(length));
  }

  /** Returns whether bytes are left that make no whole event. */
  boolean hasRest() {
    return pending.isReadable();
  }

  /** Returns the number of bytes that make no whole event yet. */
  int pendingBytes() {
    return pending.readableBytes();
  }

  /** Forgets the bytes that make no whole event. */
  void clear() {
    pending.clear();
    restart();
  }

  private void restart() {
    lineStart = 0;
    scanned = 0;
  }

  /** Returns whether an event carries a field; one of blank lines and comments alone does not. */
  static boolean hasField(ByteBuf event) {
    int lineStart = event.readerIndex();
    int end = event.writerIndex();
    while (lineStart < end) {
      byte first = event.getByte(lineStart);
      if (first != COLON && first != LINE_FEED && first != CARRIAGE_RETURN) {
        return true;
      }
      int lineEnd = event.indexOf(lineStart, end, LINE_FEED);
      lineStart = lineEnd < 0 ? end : lineEnd + 1;
    }
    return false;
  }

  /** Reads the id of an event, if it has one that is a number. */
  static OptionalLong idOf(ByteBuf event) {
    int lineStart = event.readerIndex();
    int end = event.writerIndex();
    while (lineStart < end) {
      int found = event.indexOf(lineStart, end, LINE_FEED);
      int lineEnd = found < 0 ? end : found;
      if (isId(event, lineStart, lineEnd)) {
        int from = lineStart + ID_FIELD.length;
        return parse(event.toString(from, lineEnd - from, StandardCharsets.UTF_8).strip());
      }
      lineStart = lineEnd + 1;
    }
    return OptionalLong.empty();
  }

  private static boolean isId(ByteBuf event, int lineStart, int lineEnd) {
    if (lineEnd - lineStart < ID_FIELD.length) {
      return false;
    }
    for (int i = 0; i < ID_FIELD.length; i++) {
      if (event.getByte(lineStart + i) != ID_FIELD[i]) {
        return false;
      }
    }
    return true;
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
