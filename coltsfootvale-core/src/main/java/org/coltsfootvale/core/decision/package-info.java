/** What the router decides and believes, as events for logs and metrics. */
@NullMarked
package org.coltsfootvale.core.decision;

import org.jspecify.annotations.NullMarked;
