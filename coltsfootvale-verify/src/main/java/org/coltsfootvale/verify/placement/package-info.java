/** Measures the processor time of a placement. */
@NullMarked
package org.coltsfootvale.verify.placement;

import org.jspecify.annotations.NullMarked;
