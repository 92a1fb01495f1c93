/** Selects the routers that callers should use. */
@NullMarked
package org.coltsfootvale.core.entry;

import org.jspecify.annotations.NullMarked;
