/** Helpers that the stand-ins share: fault switches, the HTTP server, streams and rates. */
@NullMarked
package org.coltsfootvale.testkit.support;

import org.jspecify.annotations.NullMarked;
