package org.coltsfootvale.verify.policy;

/** Workload mixes of the two deployments. */
enum WorkloadMix {
  /** Long diaries with many turns, quick questions and tags; two organisations surge moderately. */
  LINTULASKENTA(8, 0.30, 0.45, 6000, 10, 2.0, 4_000_000),
  /** Survey reports, quick questions and tags; two organisations surge strongly. */
  CONSORZIO(6, 0.25, 0.55, 4000, 5, 5.0, 4_000_000);

  private final int engines;
  private final double reportShare;
  private final double quickShare;
  private final double reportPromptMedian;
  private final int reportTurns;
  private final double surgeFactor;
  private final long cacheTokensPerEngine;

  WorkloadMix(
      int engines,
      double reportShare,
      double quickShare,
      double reportPromptMedian,
      int reportTurns,
      double surgeFactor,
      long cacheTokensPerEngine) {
    this.engines = engines;
    this.reportShare = reportShare;
    this.quickShare = quickShare;
    this.reportPromptMedian = reportPromptMedian;
    this.reportTurns = reportTurns;
    this.surgeFactor = surgeFactor;
    this.cacheTokensPerEngine = cacheTokensPerEngine;
  }

  int engines() {
    return engines;
  }

  /** Returns the share of long requests. */
  double reportShare() {
    return reportShare;
  }

  /** Returns the share of quick questions; the rest are tags. */
  double quickShare() {
    return quickShare;
  }

  /** Returns the median length in tokens of the first prompt of a long chat. */
  double reportPromptMedian() {
    return reportPromptMedian;
  }

  /** Returns the mean number of turns of a long chat. */
  int reportTurns() {
    return reportTurns;
  }

  /** Returns the factor by which the two largest organisations start more chats during a surge. */
  double surgeFactor() {
    return surgeFactor;
  }

  /** Returns the capacity of an engine's prefix cache in tokens. */
  long cacheTokensPerEngine() {
    return cacheTokensPerEngine;
  }
}
