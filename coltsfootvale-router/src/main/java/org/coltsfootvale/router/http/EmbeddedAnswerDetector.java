package org.coltsfootvale.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;

/**
 * Detects another answer within the body of an answer. A replica that breaks off a body and goes on
 * with another answer fills the body up, so that it has the announced length. The other answer is
 * recognised by its status line and by the header that bears the id of a request, also if the body
 * ends before that header and the bytes that follow the body hold it.
 */
final class EmbeddedAnswerDetector implements ByteProcessor {

  private static final byte[] VERSION_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  /** A version, a space, a status of three digits and the character behind it. */
  private static final int STATUS_LINE_START_BYTES = VERSION_START.length + 6;

  /** The longest line of a head. */
  private static final int LINE_BYTES_MAX = 8 * 1024;

  private final StringBuilder line = new StringBuilder();
  private Predicate<String> bearsRequestId = name -> false;
  private int matchedBytes;
  private boolean withinHead;
  private boolean statusLine;
  private int headers;
  private boolean bodyEnded;
  private boolean continued;
  private boolean found;

  /**
   * Begins an answer.
   *
   * @param idHeader returns whether a header of that name bears the id of a request
   */
  void begin(Predicate<String> idHeader) {
    bearsRequestId = idHeader;
    matchedBytes = 0;
    withinHead = false;
    bodyEnded = false;
    continued = false;
    found = false;
  }

  /** Inspects a part of the body; returns whether another answer has been found. */
  boolean onContent(ByteBuf content) {
    int start = content.readerIndex();
    if (matchedBytes == 0 && !withinHead) {
      start = content.indexOf(start, content.writerIndex(), VERSION_START[0]);
    }
    if (start >= 0) {
      content.forEachByte(start, content.writerIndex() - start, this);
    }
    return found;
  }

  /** Records that the body has its announced length. */
  void onEnd() {
    bodyEnded = true;
  }

  /** Inspects bytes that follow the body directly. */
  void onFollowingBytes(ByteBuf bytes) {
    if (!bodyEnded || !(withinHead || matchedBytes > 0)) {
      return;
    }
    if (!continued && startsWithVersion(bytes)) {
      // A whole body that quotes a status line, and another answer behind it.
      withinHead = false;
      matchedBytes = 0;
      return;
    }
    continued = true;
    bytes.forEachByte(this);
  }

  private static boolean startsWithVersion(ByteBuf bytes) {
    if (bytes.readableBytes() < VERSION_START.length) {
      return false;
    }
    for (int i = 0; i < VERSION_START.length; i++) {
      if (bytes.getByte(bytes.readerIndex() + i) != VERSION_START[i]) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether the body ends within another answer. A body that ends like a status line, with
   * nothing behind it, may be a whole one that quotes it.
   */
  boolean endsWithinAnotherAnswer() {
    return found || (withinHead && headers > 0) || (continued && (withinHead || matchedBytes > 0));
  }

  @Override
  public boolean process(byte value) {
    // Behind the body, a head that the body ends in goes on, but no other one begins.
    if (!(bodyEnded && withinHead) && completesStatusLineStart(value)) {
      withinHead = true;
      statusLine = value != '\n';
      headers = 0;
      line.setLength(0);
    } else if (withinHead) {
      readHead(value);
    }
    boolean undecided = withinHead || matchedBytes > 0;
    return !found && (undecided || !bodyEnded);
  }

  private boolean completesStatusLineStart(byte value) {
    if (matches(value, matchedBytes)) {
      matchedBytes++;
    } else {
      matchedBytes = !bodyEnded && matches(value, 0) ? 1 : 0;
    }
    if (matchedBytes < STATUS_LINE_START_BYTES) {
      return false;
    }
    matchedBytes = 0;
    return true;
  }

  private static boolean matches(byte value, int index) {
    if (index < VERSION_START.length) {
      return value == VERSION_START[index];
    }
    return switch (index - VERSION_START.length) {
      case 0, 2, 3, 4 -> value >= '0' && value <= '9';
      case 1 -> value == ' ';
      default -> value == ' ' || value == '\r' || value == '\n';
    };
  }

  private void readHead(byte value) {
    if (value != '\n') {
      line.append((char) (value & 0xff));
      withinHead = line.length() <= LINE_BYTES_MAX;
      return;
    }
    if (!statusLine) {
      withinHead = readHeader();
    }
    statusLine = false;
    line.setLength(0);
  }

  /** Reads a line; returns whether it is a header, so that the head goes on. */
  private boolean readHeader() {
    if (bodyEnded && line.toString().isBlank()) {
      found = true;
      return true;
    }
    int colon = line.indexOf(":");
    String name = colon > 0 ? line.substring(0, colon) : "";
    if (name.isEmpty() || name.chars().anyMatch(Character::isWhitespace)) {
      return false;
    }
    headers++;
    found = bearsRequestId.test(name);
    return true;
  }
}
