/** Helpers for argument checks, hashing and time. */
@NullMarked
package org.coltsfootvale.core.support;

import org.jspecify.annotations.NullMarked;
