/** The replicas of services as this router believes them to be. */
@NullMarked
package org.coltsfootvale.core.replica;

import org.jspecify.annotations.NullMarked;
