/** Module verify. */
@NullMarked
package org.coltsfootvale.verify;

import org.jspecify.annotations.NullMarked;
