/**
 * Executes requests that must not be repeated at most once, identified by their idempotency keys.
 */
@NullMarked
package org.coltsfootvale.core.once;

import org.jspecify.annotations.NullMarked;
