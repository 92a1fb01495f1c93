/** HTTP over Netty: listeners, plain calls, and the connections to replicas. */
@NullMarked
package org.coltsfootvale.router.http;

import org.jspecify.annotations.NullMarked;
