/** Measures the latency that one router adds to a request, and its throughput. */
@NullMarked
package org.coltsfootvale.verify.cost;

import org.jspecify.annotations.NullMarked;
