/**
 * The desired state set by operators, in the form used to serve requests: routes, services, keys
 * and limits.
 */
@NullMarked
package org.coltsfootvale.core.routing;

import org.jspecify.annotations.NullMarked;
