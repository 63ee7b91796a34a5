/** What lives for one statement. */
package org.sardinebay.gateway.internal.request;
