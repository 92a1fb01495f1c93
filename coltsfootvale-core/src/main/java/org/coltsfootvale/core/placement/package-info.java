/**
 * Chooses an engine for each request from a ranked list, the caller's hint and the estimated load.
 */
@NullMarked
package org.coltsfootvale.core.placement;

import org.jspecify.annotations.NullMarked;
