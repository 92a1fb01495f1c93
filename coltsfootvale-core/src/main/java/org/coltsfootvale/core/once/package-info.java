/** Runs requests that must not be repeated at most once. */
@NullMarked
package org.coltsfootvale.core.once;

import org.jspecify.annotations.NullMarked;
