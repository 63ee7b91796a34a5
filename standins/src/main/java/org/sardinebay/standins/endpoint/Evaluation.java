package org.sardinebay.standins.endpoint;

import java.util.List;

/**
 * What a statement came to.
 *
 * @param rows what it returns
 * @param effects what it changes
 */
record Evaluation(List<String> rows, List<Effect> effects) {}
