/** A stand-in of the platform: key-value service, weight store and host list. */
@NullMarked
package org.coltsfootvale.testkit.platform;

import org.jspecify.annotations.NullMarked;
