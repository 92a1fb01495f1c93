/** The command-line entry point of the stand-ins and the load program. */
@NullMarked
package org.coltsfootvale.testkit;

import org.jspecify.annotations.NullMarked;
