/** Events for logs and metrics: the router's decisions and changes of its view. */
@NullMarked
package org.coltsfootvale.core.decision;

import org.jspecify.annotations.NullMarked;
