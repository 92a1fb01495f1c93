package org.coltsfootvale.verify.memory;

/** Reads the size of the heap that is in use after a collection. */
final class HeapMeter {

  private static final int COLLECTIONS = 3;

  private HeapMeter() {}

  /** Returns the heap in use in bytes. */
  static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
