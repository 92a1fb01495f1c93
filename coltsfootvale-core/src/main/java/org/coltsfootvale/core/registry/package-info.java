/**
 * Tracks live routers by store keys bound to their leases, and selects relays and store readers
 * among them.
 */
@NullMarked
package org.coltsfootvale.core.registry;

import org.jspecify.annotations.NullMarked;
