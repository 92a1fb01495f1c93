/** Starts and stops the parts of a router process in order. */
@NullMarked
package org.coltsfootvale.router.lifecycle;

import org.jspecify.annotations.NullMarked;
