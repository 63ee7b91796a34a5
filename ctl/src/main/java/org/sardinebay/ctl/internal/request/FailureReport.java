package org.sardinebay.ctl.internal.request;

import java.util.List;

/**
 * A failure as an operator reads it.
 *
 * @param exitStatus the program's exit status
 * @param what what happened
 * @param causes why, one line for each cause
 * @param next what to do next
 */
public record FailureReport(int exitStatus, String what, List<String> causes, String next) {}
