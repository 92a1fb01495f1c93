/** The edge towards callers. */
@NullMarked
package org.coltsfootvale.router.caller;

import org.jspecify.annotations.NullMarked;
