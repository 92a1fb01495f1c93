package org.coltsfootvale.verify.memory;

/** Reads the heap in use after garbage collections. */
final class HeapMeter {

  private static final int COLLECTIONS = 3;

  private HeapMeter() {}

  /** Runs garbage collections and returns the heap in use, in bytes. */
  static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
