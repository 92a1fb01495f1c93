/** Which routers and engines exist, and in which state, as one router sees them. */
@NullMarked
package org.coltsfootvale.core.membership;

import org.jspecify.annotations.NullMarked;
