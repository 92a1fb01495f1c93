/** Counters, latencies and beliefs of an entry router, served as text. */
@NullMarked
package org.coltsfootvale.router.metrics;

import org.jspecify.annotations.NullMarked;
