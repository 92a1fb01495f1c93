/** A stand-in of a plain service that counts the runs of each request. */
@NullMarked
package org.coltsfootvale.testkit.service;

import org.jspecify.annotations.NullMarked;
