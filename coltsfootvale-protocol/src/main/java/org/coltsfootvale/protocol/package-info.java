/** The protocol between router processes: framing, authentication, heartbeats and codecs. */
@NullMarked
package org.coltsfootvale.protocol;

import org.jspecify.annotations.NullMarked;
