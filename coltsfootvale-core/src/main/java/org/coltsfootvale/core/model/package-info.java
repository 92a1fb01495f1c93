/** Value types that the decision packages share: identifiers, request classes and engine views. */
@NullMarked
package org.coltsfootvale.core.model;

import org.jspecify.annotations.NullMarked;
