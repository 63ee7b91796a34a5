/** Build tool that replaces {@code invokedynamic} call sites in a jar by ordinary code. */
package org.sardinebay.desugar;
