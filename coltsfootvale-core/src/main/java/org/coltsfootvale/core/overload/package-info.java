/** Bounds the memory that untrusted callers can occupy. */
@NullMarked
package org.coltsfootvale.core.overload;

import org.jspecify.annotations.NullMarked;
