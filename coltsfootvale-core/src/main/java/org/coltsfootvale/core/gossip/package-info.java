/** Exchanges versioned entries between routers within a byte budget. */
@NullMarked
package org.coltsfootvale.core.gossip;

import org.jspecify.annotations.NullMarked;
