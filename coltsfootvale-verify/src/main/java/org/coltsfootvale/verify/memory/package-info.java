/** Measures the heap and processor time of the idempotency registry and the release log. */
@NullMarked
package org.coltsfootvale.verify.memory;

import org.jspecify.annotations.NullMarked;
