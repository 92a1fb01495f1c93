/** Module router. */
@NullMarked
package org.coltsfootvale.router;

import org.jspecify.annotations.NullMarked;
