package org.sardinebay.standins.endpoint;

import java.util.List;

/**
 * The result of evaluating a statement.
 *
 * @param rows the rows that the statement returns
 * @param effects the changes that the statement makes
 */
record Evaluation(List<String> rows, List<Effect> effects) {}
