/** Connects the parts of the router with Dagger. */
@NullMarked
package org.coltsfootvale.router.wiring;

import org.jspecify.annotations.NullMarked;
