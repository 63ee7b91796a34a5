/** What the processes share at their edges. Start reading at {@link org.sardinebay.net.Binary}. */
package org.sardinebay.net;
