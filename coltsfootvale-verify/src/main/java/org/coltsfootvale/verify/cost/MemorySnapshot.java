package org.coltsfootvale.verify.cost;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Snapshot of the memory of this process.
 *
 * @param heapBytes the heap in use after a collection
 * @param residentBytes the resident set size, or 0 if it cannot be read
 * @param threads the number of threads
 */
record MemorySnapshot(long heapBytes, long residentBytes, int threads) {

  private static final Path STATUS = Path.of("/proc/self/status");
  private static final long BYTES_PER_KIB = 1_024;

  /** Runs a garbage collection and takes a snapshot. */
  static MemorySnapshot take() {
    System.gc();
    return new MemorySnapshot(
        ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed(),
        readResidentBytes(),
        ManagementFactory.getThreadMXBean().getThreadCount());
  }

  private static long readResidentBytes() {
    try {
      for (String line : Files.readAllLines(STATUS)) {
        if (line.startsWith("VmRSS:")) {
          return Long.parseLong(line.replaceAll("[^0-9]", "")) * BYTES_PER_KIB;
        }
      }
    } catch (IOException e) {
      return 0;
    }
    return 0;
  }
}
