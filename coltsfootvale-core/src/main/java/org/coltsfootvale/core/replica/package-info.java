/** This router's view of the replicas of services. */
@NullMarked
package org.coltsfootvale.core.replica;

import org.jspecify.annotations.NullMarked;
