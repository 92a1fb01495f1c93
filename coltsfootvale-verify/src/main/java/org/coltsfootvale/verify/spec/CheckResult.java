package org.coltsfootvale.verify.spec;

import org.jspecify.annotations.Nullable;

/**
 * Result of a model check.
 *
 * @param complete whether every reachable state was checked without an error
 * @param violatedInvariant the violated invariant, or null if there is none
 * @param distinctStates the number of distinct states found
 * @param output the complete output of the checker
 */
public record CheckResult(
    boolean complete, @Nullable String violatedInvariant, long distinctStates, String output) {}
