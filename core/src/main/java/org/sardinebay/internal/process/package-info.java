/** Decisions whose state lives as long as one process. */
package org.sardinebay.internal.process;
