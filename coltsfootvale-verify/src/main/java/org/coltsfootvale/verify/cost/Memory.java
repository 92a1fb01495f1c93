package org.coltsfootvale.verify.cost;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The memory of this process at one moment.
 *
 * @param heapBytes the heap in use after a collection
 * @param residentBytes the resident memory as the kernel counts it, 0 where it cannot be read
 * @param threads the number of threads
 */
record Memory(long heapBytes, long residentBytes, int threads) {

  private static final Path STATUS = Path.of("/proc/self/status");
  private static final long BYTES_PER_KIB = 1_024;

  /** Collects garbage and reads the memory. */
  static Memory read() {
    System.gc();
    return new Memory(
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
