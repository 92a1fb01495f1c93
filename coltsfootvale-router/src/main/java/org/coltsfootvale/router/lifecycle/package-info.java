/** Starts and stops the components of a router process in order. */
@NullMarked
package org.coltsfootvale.router.lifecycle;

import org.jspecify.annotations.NullMarked;
