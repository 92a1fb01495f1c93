/** Measures membership and gossip of whole fleets in one process and in virtual time. */
@NullMarked
package org.coltsfootvale.verify.slopes;

import org.jspecify.annotations.NullMarked;
