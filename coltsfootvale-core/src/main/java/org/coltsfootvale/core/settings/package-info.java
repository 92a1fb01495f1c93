/** The validated settings of a router process. */
@NullMarked
package org.coltsfootvale.core.settings;

import org.jspecify.annotations.NullMarked;
