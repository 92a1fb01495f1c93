/** A load program of returning chats and of requests that must not be repeated. */
@NullMarked
package org.coltsfootvale.testkit.caller;

import org.jspecify.annotations.NullMarked;
