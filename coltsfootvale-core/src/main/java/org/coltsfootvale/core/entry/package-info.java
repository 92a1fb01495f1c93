/** Answers callers that ask which entry hosts to use. */
@NullMarked
package org.coltsfootvale.core.entry;

import org.jspecify.annotations.NullMarked;
