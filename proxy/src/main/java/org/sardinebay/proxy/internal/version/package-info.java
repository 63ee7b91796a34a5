/** Objects that live as long as a configuration version or a database's term. */
package org.sardinebay.proxy.internal.version;
