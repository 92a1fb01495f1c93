/** A load generator of multi-turn chats and of requests that must not be executed twice. */
@NullMarked
package org.coltsfootvale.testkit.caller;

import org.jspecify.annotations.NullMarked;
