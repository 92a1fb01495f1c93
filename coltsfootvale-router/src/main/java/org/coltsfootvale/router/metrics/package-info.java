/** Counters, latencies and gauges of an entry router, rendered as text. */
@NullMarked
package org.coltsfootvale.router.metrics;

import org.jspecify.annotations.NullMarked;
