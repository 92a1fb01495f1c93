/** Failures of whole processes: routers as child processes before stand-ins on loopback. */
@NullMarked
package org.coltsfootvale.verify.process;

import org.jspecify.annotations.NullMarked;
