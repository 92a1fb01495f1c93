/** HTTP interface for operators: release notes, state dump and metrics. */
@NullMarked
package org.coltsfootvale.router.operator;

import org.jspecify.annotations.NullMarked;
