/**
 * Measures placement, limits and retries by running the router's decision code against simulated
 * engines in virtual time.
 */
@NullMarked
package org.coltsfootvale.verify.policy;

import org.jspecify.annotations.NullMarked;
