/** The platform's store as the serving path follows it: readings, changes and leases. */
@NullMarked
package org.coltsfootvale.core.store;

import org.jspecify.annotations.NullMarked;
