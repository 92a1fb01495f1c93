package org.coltsfootvale.verify.policy;

/**
 * Results of one run of a policy.
 *
 * @param policy the name of the policy
 * @param reuseShare the reused share of the reusable prompt tokens
 * @param skewMedian the median over windows of the maximum load divided by the mean
 * @param skewP99 the 99th percentile of the same
 * @param skewMax the maximum of the same
 * @param skewSurgeP99 the 99th percentile over windows during surges
 * @param skewCalmP99 the 99th percentile over windows with no recent state change of an engine
 * @param idleWindowsShare the share of windows whose mean load is too low to evaluate
 * @param quickFirstTokenMillis the 95th percentile of the time to first token of quick requests
 *     outside surges
 * @param quickSurgeFirstTokenMillis the same during surges
 * @param longFirstTokenMillis the 95th percentile of the time to first token of long requests
 * @param refusedShare the share of requests that were refused
 * @param failedShare the share of requests that failed with an engine and were not retried
 * @param attemptsPerRequest the mean number of attempts per request
 * @param importedGigabytes the cache data imported between engines
 * @param controlBytesPerSecond a router's bytes per second of load reports received and dispatch
 *     counts exchanged
 */
record PolicyResult(
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
    double controlBytesPerSecond) {}
