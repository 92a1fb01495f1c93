package org.coltsfootvale.core.admission;

import java.time.Duration;
import org.coltsfootvale.core.support.TokenBucket;

/** The buckets of one organisation at one router. Guarded by its own lock. */
final class OrganisationGate {

  private static final double REFUSALS_DECAY_SECONDS = 2;

  private final AdmissionOptions options;
  private final TokenBucket requests;
  private final TokenBucket tokens;
  private double refusals;
  private long refusedAtMillis;

  OrganisationGate(AdmissionOptions options, ShareGrant.Share share, long nowMillis) {
    this.options = options;
    this.requests = new TokenBucket(share.requestsPerSecond(), requestsMax(share), nowMillis);
    this.tokens = new TokenBucket(share.tokensPerSecond(), tokensMax(share), nowMillis);
  }

  /**
   * Takes a request out of the buckets.
   *
   * @return the time until it could be admitted, zero if it has been
   */
  synchronized Duration tryTake(ShareGrant.Share share, long tokenCount, long nowMillis) {
    requests.refill(share.requestsPerSecond(), requestsMax(share), nowMillis);
    tokens.refill(share.tokensPerSecond(), tokensMax(share), nowMillis);
    double waitSeconds = Math.max(requests.secondsUntil(1), tokens.secondsUntil(1));
    if (waitSeconds <= 0) {
      requests.take(1);
      tokens.take((double) tokenCount);
      return Duration.ZERO;
    }
    double backlogSeconds = countRefusal(nowMillis) / Math.max(share.requestsPerSecond(), 1e-6);
    double longest = options.retryAfterMax().toMillis() / 1000.0;
    return Duration.ofMillis(
        (long) Math.ceil(1000 * Math.min(longest, waitSeconds + backlogSeconds)));
  }

  /** Corrects the tokens that were taken by a difference that may be negative. */
  synchronized void settle(long difference) {
    tokens.take((double) difference);
  }

  /** Returns how many refusals are recent, this one included. */
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
