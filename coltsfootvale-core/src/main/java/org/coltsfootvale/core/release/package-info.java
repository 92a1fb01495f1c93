/** Release notes, their validation, the release log and the fleet state that follows from it. */
@NullMarked
package org.coltsfootvale.core.release;

import org.jspecify.annotations.NullMarked;
