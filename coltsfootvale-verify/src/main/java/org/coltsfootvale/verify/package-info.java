/** Measurements and specification checks of the router. */
@NullMarked
package org.coltsfootvale.verify;

import org.jspecify.annotations.NullMarked;
