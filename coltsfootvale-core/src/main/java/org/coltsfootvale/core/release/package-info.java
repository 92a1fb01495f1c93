/** Release notes, their validation, the release log and the resulting fleet state. */
@NullMarked
package org.coltsfootvale.core.release;

import org.jspecify.annotations.NullMarked;
