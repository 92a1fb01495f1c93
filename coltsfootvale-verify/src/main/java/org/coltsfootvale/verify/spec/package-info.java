/** Checks the TLA+ specifications with TLC. */
@NullMarked
package org.coltsfootvale.verify.spec;

import org.jspecify.annotations.NullMarked;
