/** Execution of single statements: placement, retries and forwarding to other hosts. */
package org.sardinebay.gateway.internal.request;
