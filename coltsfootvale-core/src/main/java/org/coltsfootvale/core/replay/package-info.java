/**
 * Replays recorded traces through the decision code and compares the outcomes with the expected
 * ones.
 */
@NullMarked
package org.coltsfootvale.core.replay;

import org.jspecify.annotations.NullMarked;
