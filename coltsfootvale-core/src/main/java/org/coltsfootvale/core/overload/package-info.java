/** Decisions that keep a router within the memory and the descriptors of its host. */
@NullMarked
package org.coltsfootvale.core.overload;

import org.jspecify.annotations.NullMarked;
