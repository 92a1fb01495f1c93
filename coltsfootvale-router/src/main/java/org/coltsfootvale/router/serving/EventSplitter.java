package org.coltsfootvale.router.serving;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/** Splits the body of an event stream into complete events. */
final class EventSplitter {

  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final byte COLON = ':';
  private static final byte[] ID_FIELD = {'i', 'd', COLON};

  private final ByteBuf pending = Unpooled.buffer();

  /**
   * The start of the current line, and the end of the scanned bytes, relative to the reader index.
   */
  private int lineStart;

  private int scanned;

  /** Adds bytes of the body. */
  void add(ByteBuf bytes) {
    pending.discardReadBytes();
    pending.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
  }

  /**
   * Returns the length of the first complete event, its blank line included, or 0 if there is none.
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

  /** Returns a copy of the next complete event, or an empty buffer if there is none. */
  ByteBuf next() {
    int length = eventLength();
    if (length == 0) {
      return Unpooled.EMPTY_BUFFER;
    }
    resetScan();
    return Unpooled.copiedBuffer(pending.readSlice(length));
  }

  /** Returns whether bytes are left that form no complete event. */
  boolean hasIncompleteEvent() {
    return pending.isReadable();
  }

  /** Returns the number of bytes that form no complete event yet. */
  int pendingBytes() {
    return pending.readableBytes();
  }

  /** Returns the size of the buffer. */
  int capacity() {
    return pending.capacity();
  }

  /** Discards the buffered bytes. */
  void clear() {
    pending.clear();
    resetScan();
  }

  private void resetScan() {
    lineStart = 0;
    scanned = 0;
  }

  /** Returns whether an event has a field; one of blank lines and comments alone has none. */
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

  /** Returns the id of an event if it is a number. */
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
      // A non-numeric id is no position in a numbered stream.
      return OptionalLong.empty();
    }
  }
}
