package org.coltsfootvale.core.admission;

import java.time.Duration;
import org.coltsfootvale.core.support.TokenBucket;

/** The token buckets of one organisation at one router. Guarded by its own lock. */
final class OrganisationLimiter {

  private static final double REFUSALS_DECAY_SECONDS = 2;

  private final AdmissionOptions options;
  private final TokenBucket requests;
  private final TokenBucket tokens;
  private double refusals;
  private long refusedAtMillis;

  OrganisationLimiter(AdmissionOptions options, ShareGrant.Share share, long nowMillis) {
    this.options = options;
    this.requests = new TokenBucket(share.requestsPerSecond(), requestsMax(share), nowMillis);
    this.tokens = new TokenBucket(share.tokensPerSecond(), tokensMax(share), nowMillis);
  }

  /**
   * Takes a request and its tokens from the buckets, if neither is empty.
   *
   * @return zero if the request is admitted, otherwise the retry delay, which grows with recent
   *     refusals
   */
  synchronized Duration tryAcquire(ShareGrant.Share share, long tokenCount, long nowMillis) {
    requests.refill(share.requestsPerSecond(), requestsMax(share), nowMillis);
    tokens.refill(share.tokensPerSecond(), tokensMax(share), nowMillis);
    double waitSeconds = Math.max(requests.secondsUntil(1), tokens.secondsUntil(1));
    if (waitSeconds <= 0) {
      requests.take(1);
      tokens.take((double) tokenCount);
      return Duration.ZERO;
    }
    double backlogSeconds = countRefusal(nowMillis) / Math.max(share.requestsPerSecond(), 1e-6);
    double maxSeconds = options.retryAfterMax().toMillis() / 1000.0;
    return Duration.ofMillis(
        (long) Math.ceil(1000 * Math.min(maxSeconds, waitSeconds + backlogSeconds)));
  }

  /** Corrects the number of tokens taken by a difference, which may be negative. */
  synchronized void settle(long difference) {
    tokens.take((double) difference);
  }

  /** Returns the exponentially decayed number of refusals, including this one. */
  private double countRefusal(long nowMillis) {
    double seconds = Math.max(0, nowMillis - refusedAtMillis) / 1000.0;
    refusals = refusals * Math.exp(-seconds / REFUSALS_DECAY_SECONDS) + 1;
    refusedAtMillis = nowMillis;
    return refusals;
  }

  private double requestsMax(ShareGrant.Share share) {
    return Math.max(options.burstRequestsMin(), share.requestsPerSecond() * burstSeconds());
  }

  private double tokensMax(ShareGrant.Share share) {
    return Math.max(1, share.tokensPerSecond() * burstSeconds());
  }

  private double burstSeconds() {
    return options.burst().toMillis() / 1000.0;
  }
}
