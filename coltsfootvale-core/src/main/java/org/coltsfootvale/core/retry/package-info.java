/** Retry decisions, retry budgets and circuit breakers. */
@NullMarked
package org.coltsfootvale.core.retry;

import org.jspecify.annotations.NullMarked;
