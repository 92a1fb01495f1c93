/** Access of the serving path to the platform's store: full reads, changes and leases. */
@NullMarked
package org.coltsfootvale.core.store;

import org.jspecify.annotations.NullMarked;
