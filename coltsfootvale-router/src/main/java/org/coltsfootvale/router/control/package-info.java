/**
 * Periodic control loops that supply the decision components: gossip, release log, engine probes,
 * shares and orders.
 */
@NullMarked
package org.coltsfootvale.router.control;

import org.jspecify.annotations.NullMarked;
