/**
 * The loops that feed the decisions: gossip, release log, observation of engines, shares and
 * orders.
 */
@NullMarked
package org.coltsfootvale.router.control;

import org.jspecify.annotations.NullMarked;
