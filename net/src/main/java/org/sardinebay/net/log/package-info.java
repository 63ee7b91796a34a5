/**
 * Formats and parses log lines. The format is defined by {@link org.sardinebay.net.log.LogLine}.
 */
package org.sardinebay.net.log;
