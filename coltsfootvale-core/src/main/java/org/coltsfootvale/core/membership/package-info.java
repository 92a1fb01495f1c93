/** One router's view of the routers and engines and their liveness. */
@NullMarked
package org.coltsfootvale.core.membership;

import org.jspecify.annotations.NullMarked;
