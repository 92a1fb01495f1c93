/** The HTTP interface for callers. */
@NullMarked
package org.coltsfootvale.router.caller;

import org.jspecify.annotations.NullMarked;
