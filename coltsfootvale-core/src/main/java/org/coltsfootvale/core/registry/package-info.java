/** Which routers are live, by keys of the store that each router binds to its lease. */
@NullMarked
package org.coltsfootvale.core.registry;

import org.jspecify.annotations.NullMarked;
