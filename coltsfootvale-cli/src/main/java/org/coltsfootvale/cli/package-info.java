/** Module cli. */
@NullMarked
package org.coltsfootvale.cli;

import org.jspecify.annotations.NullMarked;
