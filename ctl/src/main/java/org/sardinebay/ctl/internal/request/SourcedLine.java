package org.sardinebay.ctl.internal.request;

import org.sardinebay.net.log.LogLine;

/**
 * A log line and its source.
 *
 * @param source the file name, or the host name if the line was read from standard input
 * @param line the parsed log line
 */
record SourcedLine(String source, LogLine line) {}
