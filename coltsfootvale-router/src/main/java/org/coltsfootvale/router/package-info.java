/** Entry point of the router daemon. */
@NullMarked
package org.coltsfootvale.router;

import org.jspecify.annotations.NullMarked;
