/** HTTP over Netty: listeners, a simple client, and the connections to replicas. */
@NullMarked
package org.coltsfootvale.router.http;

import org.jspecify.annotations.NullMarked;
