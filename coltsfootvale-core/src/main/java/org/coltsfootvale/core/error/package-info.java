/** The base class of typed errors, their kinds and outcomes. */
@NullMarked
package org.coltsfootvale.core.error;

import org.jspecify.annotations.NullMarked;
