/** The platform's services as the decisions see them: asynchronous ports without transport. */
@NullMarked
package org.coltsfootvale.core.platform;

import org.jspecify.annotations.NullMarked;
