/** Measures what the memory of keys and the release log cost. */
@NullMarked
package org.coltsfootvale.verify.memory;

import org.jspecify.annotations.NullMarked;
