package org.coltsfootvale.verify.policy;

/** The traffic of the two deployments. */
enum Mix {
  /** Long diaries that return often, quick questions, tags; two organisations surge mildly. */
  LINTULASKENTA(8, 0.30, 0.45, 6000, 10, 2.0, 4_000_000),
  /** Survey reports, quick questions, tags; two organisations surge far above the rest. */
  CONSORZIO(6, 0.25, 0.55, 4000, 5, 5.0, 4_000_000);

  private final int engines;
  private final double reportShare;
  private final double quickShare;
  private final double reportPromptMedian;
  private final int reportTurns;
  private final double surgeFactor;
  private final long cacheTokensPerEngine;

  Mix(
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

  /** Returns the median length of a long chat's first prompt in tokens. */
  double reportPromptMedian() {
    return reportPromptMedian;
  }

  /** Returns the mean number of turns of a long chat. */
  int reportTurns() {
    return reportTurns;
  }

  /** Returns by how much the two largest organisations' rate of new chats grows in a surge. */
  double surgeFactor() {
    return surgeFactor;
  }

  /** Returns the prefix cache of an engine in tokens. */
  long cacheTokensPerEngine() {
    return cacheTokensPerEngine;
  }
}
