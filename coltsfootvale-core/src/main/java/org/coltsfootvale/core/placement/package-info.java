/** Chooses an engine for each request by a ranking, the caller's hint and the estimated load. */
@NullMarked
package org.coltsfootvale.core.placement;

import org.jspecify.annotations.NullMarked;
