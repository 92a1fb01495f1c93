/** Measures membership and gossip of complete fleets in one process, in virtual time. */
@NullMarked
package org.coltsfootvale.verify.slopes;

import org.jspecify.annotations.NullMarked;
