/** Forwards requests with idempotency keys to their home and serves those that peers forward. */
@NullMarked
package org.coltsfootvale.router.forward;

import org.jspecify.annotations.NullMarked;
