/** The course of one request: what it is, what it may do next, and how it ends. */
@NullMarked
package org.coltsfootvale.core.course;

import org.jspecify.annotations.NullMarked;
