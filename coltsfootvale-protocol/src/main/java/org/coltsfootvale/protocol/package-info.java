/** Module protocol. */
@NullMarked
package org.coltsfootvale.protocol;

import org.jspecify.annotations.NullMarked;
