/**
 * State machines and views that are valid for one version of the configuration or one term of a
 * database: configuration merging, routing views, primary leases, and promotions.
 */
package org.sardinebay.internal.version;
