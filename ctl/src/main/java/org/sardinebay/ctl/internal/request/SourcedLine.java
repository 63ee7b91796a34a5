package org.sardinebay.ctl.internal.request;

import org.sardinebay.net.log.LogLine;

/**
 * A log line and where it was read.
 *
 * @param source the file's name
 * @param line the line
 */
record SourcedLine(String source, LogLine line) {}
