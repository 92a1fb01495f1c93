/** Measures what one router adds to a request and what it can carry. */
@NullMarked
package org.coltsfootvale.verify.cost;

import org.jspecify.annotations.NullMarked;
