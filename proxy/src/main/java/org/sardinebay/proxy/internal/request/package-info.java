/** What lives as long as one request. */
package org.sardinebay.proxy.internal.request;
