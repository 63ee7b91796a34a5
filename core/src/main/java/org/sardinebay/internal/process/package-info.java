/** Process-wide policies: session tokens, retry budget, configuration sources and invariants. */
package org.sardinebay.internal.process;
