/**
 * Decisions with state that is valid for one version of a configuration or one term of a database:
 * configuration merging, routing views, primary leases, and promotions.
 */
package org.sardinebay.internal.version;
