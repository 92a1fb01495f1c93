package org.coltsfootvale.verify.spec;

import org.jspecify.annotations.Nullable;

/**
 * What the model checker has found.
 *
 * @param complete whether every reachable state was visited without an error
 * @param violatedInvariant the invariant that does not hold, or null
 * @param distinctStates the number of distinct states found
 * @param output the checker's whole output
 */
public record CheckResult(
    boolean complete, @Nullable String violatedInvariant, long distinctStates, String output) {}
