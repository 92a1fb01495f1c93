/** A stand-in of a plain service that counts how often each request ran. */
@NullMarked
package org.coltsfootvale.testkit.service;

import org.jspecify.annotations.NullMarked;
