/** Orders to engines, sent under a lease with a fencing number. */
@NullMarked
package org.coltsfootvale.core.orders;

import org.jspecify.annotations.NullMarked;
