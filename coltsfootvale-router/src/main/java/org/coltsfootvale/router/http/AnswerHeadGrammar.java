package org.coltsfootvale.router.http;

import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Checks the head of an answer against the grammar of RFC 9112, byte by byte. The decoder accepts
 * more: it reads any number as a status, ends the name of a field at a blank, and takes a line that
 * begins with a blank for a part of the field before it.
 */
final class AnswerHeadGrammar implements ByteProcessor {

  private static final byte[] VERSION_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  /** The characters of a field name besides letters and digits. */
  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

  private static final int STATUS_LENGTH = 3;

  /** Requests ask for no other protocol, so that a switch to one is no answer to them. */
  private static final int SWITCHING_PROTOCOLS = 101;

  /** The maximum number of empty lines before a status line. */
  private static final int EMPTY_LINES_MAX = 8;

  /**
   * The maximum number of fields. Short ones occupy many times their size as objects, and no server
   * sends that many.
   */
  private static final int FIELDS_MAX = 256;

  private enum State {
    START,
    STATUS_LINE,
    REASON,
    FIELD_START,
    FIELD_NAME,
    FIELD_VALUE,
    LINE_END,
    ENDED,
    INVALID
  }

  private State state = State.START;

  /** The state after the line feed that has to follow. */
  private State afterLineEnd = State.START;

  private int emptyLines;
  private int fields;
  private int position;
  private int status;
  private @Nullable String violation;

  /** Begins a new head. */
  void begin() {
    state = State.START;
    emptyLines = 0;
    fields = 0;
    position = 0;
    status = 0;
    violation = null;
  }

  /** Returns whether the head is complete. */
  boolean ended() {
    return state == State.ENDED;
  }

  /** Returns what is invalid, or null if the bytes begin a valid head. */
  @Nullable String violation() {
    return violation;
  }

  /** Checks the next byte; returns whether the head goes on. */
  @Override
  public boolean process(byte signed) {
    int value = signed & 0xff;
    switch (state) {
      case START -> start(value);
      case STATUS_LINE -> statusLine(value);
      case REASON -> text(value, "reason");
      case FIELD_START -> fieldStart(value);
      case FIELD_NAME -> fieldName(value);
      case FIELD_VALUE -> text(value, "value of a field");
      case LINE_END -> check(value == '\n', afterLineEnd, "end of a line");
      default -> throw new IllegalStateException("the head has ended: " + state);
    }
    return state != State.ENDED && state != State.INVALID;
  }

  /** Empty lines before a status line are skipped, as they may follow an earlier answer. */
  private void start(int value) {
    if (value == '\r' || value == '\n') {
      emptyLines++;
      endLine(value, State.START);
      if (emptyLines > EMPTY_LINES_MAX) {
        reject("start: empty lines without end");
      }
    } else {
      state = State.STATUS_LINE;
      statusLine(value);
    }
  }

  private void statusLine(int value) {
    int index = position++;
    int statusIndex = index - VERSION_START.length - 2;
    if (index < VERSION_START.length) {
      check(value == VERSION_START[index], State.STATUS_LINE, "version");
    } else if (index == VERSION_START.length) {
      check(digit(value), State.STATUS_LINE, "version");
    } else if (index == VERSION_START.length + 1) {
      check(value == ' ', State.STATUS_LINE, "version");
    } else if (statusIndex < STATUS_LENGTH) {
      check(digit(value), State.STATUS_LINE, "status");
      status = 10 * status + value - '0';
    } else if (status < 100 || status > 599 || status == SWITCHING_PROTOCOLS) {
      reject("status");
    } else if (value == '\r' || value == '\n') {
      endLine(value, State.FIELD_START);
    } else {
      check(value == ' ', State.REASON, "status");
    }
  }

  private void text(int value, String part) {
    if (value == '\r' || value == '\n') {
      endLine(value, State.FIELD_START);
    } else {
      check(value == '\t' || (value >= ' ' && value != 0x7f), state, part);
    }
  }

  private void fieldStart(int value) {
    if (value == '\r' || value == '\n') {
      endLine(value, State.ENDED);
    } else if (++fields > FIELDS_MAX) {
      reject("number of fields");
    } else {
      check(token(value), State.FIELD_NAME, "name of a field");
    }
  }

  private void fieldName(int value) {
    if (value == ':') {
      state = State.FIELD_VALUE;
    } else {
      check(token(value), State.FIELD_NAME, "name of a field");
    }
  }

  private void endLine(int value, State next) {
    if (value == '\n') {
      state = next;
    } else {
      state = State.LINE_END;
      afterLineEnd = next;
    }
  }

  private void check(boolean valid, State next, String part) {
    if (valid) {
      state = next;
    } else {
      reject(part);
    }
  }

  private void reject(String part) {
    state = State.INVALID;
    violation = part;
  }

  private static boolean digit(int value) {
    return value >= '0' && value <= '9';
  }

  private static boolean token(int value) {
    return digit(value)
        || (value >= 'a' && value <= 'z')
        || (value >= 'A' && value <= 'Z')
        || TOKEN_SYMBOLS.indexOf(value) >= 0;
  }
}
