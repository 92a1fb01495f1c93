/** Module testkit. */
@NullMarked
package org.coltsfootvale.testkit;

import org.jspecify.annotations.NullMarked;
