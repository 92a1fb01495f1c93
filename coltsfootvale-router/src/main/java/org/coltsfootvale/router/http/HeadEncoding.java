package org.coltsfootvale.router.http;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Converts between text and the heads of HTTP messages, which carry text in UTF-8. HTTP codecs
 * represent each byte of a head as the character with the same number, and replace other characters
 * when they write.
 *
 * <p>No two texts have the same representation: text that a head cannot carry unchanged has none.
 */
public final class HeadEncoding {

  private HeadEncoding() {}

  /**
   * Returns the representation of a text; empty if the text is not valid Unicode, as it contains a
   * lone surrogate.
   */
  public static Optional<String> encode(String text) {
    return convert(text, StandardCharsets.UTF_8, StandardCharsets.ISO_8859_1);
  }

  /** Returns the text that is represented in a head; empty if its bytes are not valid UTF-8. */
  public static Optional<String> decode(String representation) {
    return convert(representation, StandardCharsets.ISO_8859_1, StandardCharsets.UTF_8);
  }

  /**
   * Returns the representation of the value of a field; empty if no field can carry the text. A
   * recipient rejects control characters and removes blanks and tabs at the ends (RFC 9110, section
   * 5.5).
   */
  public static Optional<String> encodeFieldValue(String text) {
    return Optional.of(text).filter(HeadEncoding::isFieldValue).flatMap(HeadEncoding::encode);
  }

  private static boolean isFieldValue(String text) {
    return !text.isEmpty()
        && !isBlank(text.charAt(0))
        && !isBlank(text.charAt(text.length() - 1))
        && text.chars().noneMatch(HeadEncoding::isForbidden);
  }

  private static boolean isBlank(int character) {
    return character == ' ' || character == '\t';
  }

  private static boolean isForbidden(int character) {
    return (character < ' ' && character != '\t') || character == 0x7f;
  }

  private static Optional<String> convert(String text, Charset written, Charset read) {
    try {
      // Unlike String.getBytes, a new encoder or decoder reports what it cannot convert.
      ByteBuffer bytes = written.newEncoder().encode(CharBuffer.wrap(text));
      return Optional.of(read.newDecoder().decode(bytes).toString());
    } catch (CharacterCodingException e) {
      return Optional.empty();
    }
  }
}
