/** Decisions whose state lives as long as one request. */
package org.sardinebay.internal.request;
