/** Connection limits and session state of pooled connections. */
package org.sardinebay.internal.connection;
