/** Routing, retry and queueing decisions for single requests. */
package org.sardinebay.internal.request;
