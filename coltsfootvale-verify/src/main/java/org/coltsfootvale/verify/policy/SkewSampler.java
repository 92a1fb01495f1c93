package org.coltsfootvale.verify.policy;

import java.util.Arrays;
import java.util.List;
import java.util.function.LongPredicate;
import org.HdrHistogram.Histogram;
import org.coltsfootvale.core.model.Liveness;

/**
 * Averages the outstanding requests of each live engine over windows of one second and records the
 * maximum divided by the mean. Windows with a mean below four requests are counted as idle.
 */
final class SkewSampler {

  private static final double SAMPLE_MILLIS = 100;
  private static final int SAMPLES_PER_WINDOW = 10;
  private static final double MEAN_REQUESTS_MIN = 4;
  private static final double CALM_AFTER_MILLIS = 20_000;
  private static final double SCALE = 1000;

  private final List<SimulatedEngine> engines;
  private final VirtualTime time;
  private final LongPredicate surge;
  private final Histogram skew = new Histogram(3);
  private final Histogram surgeSkew = new Histogram(3);
  private final Histogram calmSkew = new Histogram(3);
  private final double[] sums;
  private final boolean[] liveThroughout;
  private int samples;
  private long idleWindows;
  private double changedAtMillis = Double.NEGATIVE_INFINITY;

  SkewSampler(List<SimulatedEngine> engines, VirtualTime time, LongPredicate surge) {
    this.engines = engines;
    this.time = time;
    this.surge = surge;
    this.sums = new double[engines.size()];
    this.liveThroughout = new boolean[engines.size()];
    Arrays.fill(liveThroughout, true);
    time.schedule(0, this::sample);
  }

  /** Returns a percentile of the maximum load divided by the mean. */
  double percentile(double percentile) {
    return skew.getValueAtPercentile(percentile) / SCALE;
  }

  /** Returns the 99th percentile over windows that end in a surge. */
  double surgeP99() {
    return surgeSkew.getValueAtPercentile(99) / SCALE;
  }

  /** Returns the 99th percentile over windows with no engine state change in the 20 s before. */
  double calmP99() {
    return calmSkew.getValueAtPercentile(99) / SCALE;
  }

  /** Called when the state of an engine has changed. */
  void onChange() {
    changedAtMillis = time.now();
  }

  /** Returns the share of idle windows, which are excluded from the percentiles. */
  double idleShare() {
    return (double) idleWindows / Math.max(1, idleWindows + skew.getTotalCount());
  }

  private void sample() {
    for (int i = 0; i < sums.length; i++) {
      SimulatedEngine engine = engines.get(i);
      liveThroughout[i] &= engine.liveness() == Liveness.LIVE;
      sums[i] += engine.outstandingRequests();
    }
    samples++;
    if (samples == SAMPLES_PER_WINDOW) {
      closeWindow();
    }
    time.schedule(time.now() + SAMPLE_MILLIS, this::sample);
  }

  private void recordSkew(long value) {
    skew.recordValue(value);
    if (surge.test((long) time.now())) {
      surgeSkew.recordValue(value);
    }
    if (time.now() - changedAtMillis >= CALM_AFTER_MILLIS) {
      calmSkew.recordValue(value);
    }
  }

  private void closeWindow() {
    double total = 0;
    double max = 0;
    int count = 0;
    for (int i = 0; i < sums.length; i++) {
      if (liveThroughout[i]) {
        total += sums[i];
        max = Math.max(max, sums[i]);
        count++;
      }
    }
    double mean = total / Math.max(1, count);
    if (mean < MEAN_REQUESTS_MIN * SAMPLES_PER_WINDOW) {
      idleWindows++;
    } else {
      recordSkew(Math.round(SCALE * max / mean));
    }
    samples = 0;
    Arrays.fill(sums, 0);
    Arrays.fill(liveThroughout, true);
  }
}
