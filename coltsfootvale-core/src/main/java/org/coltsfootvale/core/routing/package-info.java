/** The operators' desired state as the serving path uses it: routes, services, keys and limits. */
@NullMarked
package org.coltsfootvale.core.routing;

import org.jspecify.annotations.NullMarked;
