/** Process failure tests: routers in child processes with stand-ins on the loopback interface. */
@NullMarked
package org.coltsfootvale.verify.process;

import org.jspecify.annotations.NullMarked;
