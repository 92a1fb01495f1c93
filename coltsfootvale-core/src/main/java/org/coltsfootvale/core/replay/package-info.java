/** Replays recorded traces through the decisions against their stated outcomes. */
@NullMarked
package org.coltsfootvale.core.replay;

import org.jspecify.annotations.NullMarked;
