/**
 * Value types shared by other packages: identifiers, request classes and views of routers and
 * engines.
 */
@NullMarked
package org.coltsfootvale.core.model;

import org.jspecify.annotations.NullMarked;
