/** Where a request waits, which replica it goes to, and when it is turned away. */
@NullMarked
package org.coltsfootvale.core.dispatch;

import org.jspecify.annotations.NullMarked;
