package org.coltsfootvale.router.serving;

import java.util.Collection;
import java.util.stream.Collectors;

/** Formats the ids of prompt parts for log fields. */
final class PartNames {

  /** Callers choose the number of parts; a log line states at most this many. */
  private static final int PARTS_MAX = 32;

  private PartNames() {}

  static String join(Collection<String> parts) {
    String joined = parts.stream().limit(PARTS_MAX).collect(Collectors.joining(","));
    return parts.size() <= PARTS_MAX
        ? joined
        : joined + ",(" + (parts.size() - PARTS_MAX) + " more)";
  }
}
