/** Selects a replica for each request, and queues or refuses requests that cannot be placed. */
@NullMarked
package org.coltsfootvale.core.dispatch;

import org.jspecify.annotations.NullMarked;
