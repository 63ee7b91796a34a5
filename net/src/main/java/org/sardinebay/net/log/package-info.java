/** The format of log lines, written and read. Start at {@link org.sardinebay.net.log.LogLine}. */
package org.sardinebay.net.log;
