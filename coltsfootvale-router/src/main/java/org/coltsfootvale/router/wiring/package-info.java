/** Dagger wiring of the router's components. */
@NullMarked
package org.coltsfootvale.router.wiring;

import org.jspecify.annotations.NullMarked;
