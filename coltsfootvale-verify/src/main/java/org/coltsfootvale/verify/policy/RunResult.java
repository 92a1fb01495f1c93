package org.coltsfootvale.verify.policy;

/**
 * What one run of a policy came to.
 *
 * @param policy its name
 * @param reuseShare reused prompt tokens as a share of the reusable
 * @param skewMedian the median over windows of the greatest load divided by the mean
 * @param skewP99 the 99th percentile of the same
 * @param skewMax the greatest value of the same
 * @param skewSurgeP99 the 99th percentile over windows in a surge
 * @param skewCalmP99 the 99th percentile over windows without a change of an engine shortly before
 * @param idleWindowsShare the share of windows whose mean is too low to be judged
 * @param quickFirstTokenMillis the 95th percentile of quick requests' first token, outside surges
 * @param quickSurgeFirstTokenMillis the same during surges
 * @param longFirstTokenMillis the 95th percentile of long requests' first token
 * @param refusedShare requests that were refused
 * @param failedShare requests that were lost with an engine and not retried
 * @param attemptsPerRequest attempts at engines for each request
 * @param importedGigabytes the cache moved between engines
 * @param reportBytesPerSecond load reports heard by a router
 */
record RunResult(
    String policy,
    double reuseShare,
    double skewMedian,
    double skewP99,
    double skewMax,
    double skewSurgeP99,
    double skewCalmP99,
    double idleWindowsShare,
    double quickFirstTokenMillis,
    double quickSurgeFirstTokenMillis,
    double longFirstTokenMillis,
    double refusedShare,
    double failedShare,
    double attemptsPerRequest,
    double importedGigabytes,
    double reportBytesPerSecond) {}
