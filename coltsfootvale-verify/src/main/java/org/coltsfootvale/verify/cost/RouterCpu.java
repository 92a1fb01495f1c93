package org.coltsfootvale.verify.cost;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.List;
import java.util.Locale;

/** Reads the processor time of the router's threads, which are identified by name. */
final class RouterCpu {

  private static final List<String> THREAD_NAME_PREFIXES =
      List.of("http", "call-watchdog", "okhttp", "okio", "control", "peer-transport", "forward-");
  private static final double NANOS_PER_SECOND = 1e9;

  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

  /** Returns the processor time used by the router's live threads, in seconds. */
  double seconds() {
    long nanos = 0;
    for (ThreadInfo thread : threads.getThreadInfo(threads.getAllThreadIds())) {
      if (thread != null && isRouterThread(thread.getThreadName())) {
        nanos += Math.max(0, threads.getThreadCpuTime(thread.getThreadId()));
      }
    }
    return nanos / NANOS_PER_SECOND;
  }

  private static boolean isRouterThread(String name) {
    String lower = name.toLowerCase(Locale.ROOT);
    return THREAD_NAME_PREFIXES.stream().anyMatch(lower::startsWith)
        && !lower.startsWith("httpclient");
  }
}
