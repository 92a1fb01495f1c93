/**
 * The path of a request from a caller's connection to a replica and back, and the exchange of state
 * between routers.
 */
@NullMarked
package org.coltsfootvale.router.serving;

import org.jspecify.annotations.NullMarked;
