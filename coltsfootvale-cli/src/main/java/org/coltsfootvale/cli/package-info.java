/** The operator's command line: commands, their options, output and exit codes. */
@NullMarked
package org.coltsfootvale.cli;

import org.jspecify.annotations.NullMarked;
