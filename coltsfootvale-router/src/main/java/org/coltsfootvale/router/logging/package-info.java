/** Configures logging and writes log lines as text or JSON. */
@NullMarked
package org.coltsfootvale.router.logging;

import org.jspecify.annotations.NullMarked;
