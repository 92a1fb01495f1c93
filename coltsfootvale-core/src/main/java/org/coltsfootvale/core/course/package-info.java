/** The attributes, state and retry decisions of a single request. */
@NullMarked
package org.coltsfootvale.core.course;

import org.jspecify.annotations.NullMarked;
