package org.coltsfootvale.router.http;

import io.netty.buffer.ByteBuf;
import org.coltsfootvale.core.overload.CallerMemoryBudget;

/**
 * Measures the memory of the lines that a decoder has parsed and not emitted: the fields of an
 * incomplete head or of trailers. Short fields occupy many times their size as objects.
 */
public final class UnemittedLines {

  private long bytes;
  private long lines;

  /** Counts the bytes that were parsed; blank lines before a head are not kept. */
  public void onParsed(ByteBuf buffer, int start) {
    for (int i = start; i < buffer.readerIndex(); i++) {
      byte read = buffer.getByte(i);
      if (bytes > 0 || read < 0 || read > ' ') {
        bytes++;
        lines += read == '\n' ? 1 : 0;
      }
    }
  }

  /**
   * Returns the memory of a head that is emitted now.
   *
   * @param lastBytes the bytes that were parsed directly before
   * @param fields the number of its fields
   */
  public long headBytes(int lastBytes, int fields) {
    return bytes + lastBytes + (1L + fields) * CallerMemoryBudget.OBJECT_BYTES;
  }

  /** Records that the lines were emitted. */
  public void onEmitted() {
    bytes = 0;
    lines = 0;
  }

  /** Returns the memory of the lines, and of a read buffer that ends within a line. */
  public long heldBytes(ByteBuf rest) {
    return bytes
        + lines * CallerMemoryBudget.OBJECT_BYTES
        + (rest.isReadable() ? rest.capacity() : 0);
  }
}
