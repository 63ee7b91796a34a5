package org.sardinebay.ctl.internal.request;

import java.util.List;

/**
 * The description of a failure for operators.
 *
 * @param exitStatus the program's exit status
 * @param summary what happened, in one sentence
 * @param causes the possible causes, one line each
 * @param nextStep what to do next
 */
public record FailureReport(int exitStatus, String summary, List<String> causes, String nextStep) {}
