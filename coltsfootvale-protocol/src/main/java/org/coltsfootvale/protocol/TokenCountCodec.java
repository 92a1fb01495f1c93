package org.coltsfootvale.protocol;

/** Encodes token counts in one byte: exact below 16, otherwise with four significant bits. */
final class TokenCountCodec {

  private static final int MANTISSA_BITS = 3;
  private static final int MANTISSA_MASK = (1 << MANTISSA_BITS) - 1;
  private static final int CODE_MAX = 255;

  private TokenCountCodec() {}

  /** Encodes a count, clamped to the representable range. */
  static byte encode(long count) {
    if (count <= MANTISSA_MASK) {
      return (byte) Math.max(0, count);
    }
    int shift = Long.SIZE - Long.numberOfLeadingZeros(count) - MANTISSA_BITS - 1;
    long code = ((shift + 1L) << MANTISSA_BITS) | ((count >> shift) & MANTISSA_MASK);
    return (byte) Math.min(CODE_MAX, code);
  }

  /** Decodes a count. */
  static long decode(byte encoded) {
    int code = Byte.toUnsignedInt(encoded);
    int exponent = code >> MANTISSA_BITS;
    long mantissa = code & MANTISSA_MASK;
    return exponent == 0 ? mantissa : (mantissa + MANTISSA_MASK + 1) << (exponent - 1);
  }
}
